import pytest

from gypsumwind.platform.store import PlatformStore
from tests.standins import platform


@pytest.fixture
def served():
    with platform.PlatformStore() as store:
        yield store


@pytest.fixture
def client(served):
    return PlatformStore(served.url, 0.5, "127.0.0.1")
