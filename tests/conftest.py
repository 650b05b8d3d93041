import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    """Add the daemons' logs to the report of a failing test."""
    outcome = yield
    report = outcome.get_result()
    fleet = item.funcargs.get("fleet") if hasattr(item, "funcargs") else None
    if report.failed and fleet is not None:
        report.sections.append(("daemon logs", fleet.logs()[-20000:]))
