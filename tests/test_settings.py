import pytest

from gypsumwind.errors import SettingsError
from gypsumwind.settings import read_settings

GOOD = {
    "GYPSUMWIND_VM": "accra-a-1",
    "GYPSUMWIND_ZONE": "accra-a",
    "GYPSUMWIND_REGION": "accra",
    "GYPSUMWIND_IP": "127.0.1.1",
    "GYPSUMWIND_STORE_URL": "http://127.0.4.1:9000/",
}


def test_flag_takes_precedence_over_variable_and_default():
    cfg = read_settings({"fence_s": "3"}, {**GOOD, "GYPSUMWIND_FENCE_S": "4"})
    assert cfg.fence_s == 3.0
    assert cfg.store_url == "http://127.0.4.1:9000"
    assert cfg.advertise_ip == "127.0.1.1"


def test_all_errors_are_reported_at_once_with_their_source():
    env = {**GOOD, "GYPSUMWIND_IP": "localhost", "GYPSUMWIND_TYPO": "1", "GYPSUMWIND_VM": "a b"}
    with pytest.raises(SettingsError) as caught:
        read_settings({"threads": "many"}, env)
    lines = caught.value.message.splitlines()
    assert [line.split(":")[0] for line in lines] == [
        "GYPSUMWIND_TYPO",
        "GYPSUMWIND_VM",
        "GYPSUMWIND_IP",
        "--threads",
    ]


@pytest.mark.parametrize(
    ("name", "value", "text"),
    [
        ("seeds", "127.0.0.1:8082", "ZONE=IP:PORT"),
        ("seeds", "a=host:8082", "IP number"),
        ("store_url", "https://127.0.0.1:1", "http://IP:PORT"),
        ("peer_port", "8080", "must differ"),
        ("peer_port", "70000", "1 to 65535"),
        ("fence_s", "-1", "seconds above 0"),
        ("choice", "best", "round-robin"),
        ("threads", "4", "at least 16"),
        ("default_deadline_s", "500", "must not be above"),
    ],
)
def test_error_names_the_expected_value(name, value, text):
    with pytest.raises(SettingsError, match=text):
        read_settings({name: value}, GOOD)


def test_missing_settings_are_named():
    with pytest.raises(SettingsError) as caught:
        read_settings({}, {})
    for variable in GOOD:
        assert variable in caught.value.message
