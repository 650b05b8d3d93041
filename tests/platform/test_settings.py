import pytest

from gypsumwind.core.lapses import Lease
from gypsumwind.errors import SettingsError
from gypsumwind.platform.settings import read_platform_settings
from tests.standins.platform import settings_lines


def write(tmp_path, lines):
    path = tmp_path / "settings.conf"
    path.write_text("\n".join(lines) + "\n")
    return str(path)


def test_file_is_parsed_into_settings(tmp_path):
    found = read_platform_settings(write(tmp_path, settings_lines("vm-1", "127.0.0.1")))
    assert (found.cfg.vm, found.cfg.zone, found.cfg.region) == ("vm-1", "a1", "a")
    assert found.steering.regions == {"a1": "a", "b1": "b"}
    assert found.steering.retry_headroom == 64
    assert found.cfg.seeds[0].peer_port == found.cfg.peer_port


def test_unknown_keys_and_comments_are_ignored(tmp_path):
    lines = ["# comment", "", "new.key=1", "no mark", *settings_lines("vm-1", "127.0.0.1")]
    assert read_platform_settings(write(tmp_path, lines)).cfg.vm == "vm-1"


def test_every_error_names_its_key(tmp_path):
    lines = [
        line
        for line in settings_lines("vm-1", "127.0.0.1")
        if not line.startswith(("zone=", "bounds.graceS"))
    ]
    lines += ["listen.front=nowhere", "internalPorts=7200", "bounds.coldSlack=much"]
    with pytest.raises(SettingsError) as caught:
        read_platform_settings(write(tmp_path, lines))
    for key in ("zone", "bounds.graceS", "listen.front", "internalPorts", "bounds.coldSlack"):
        assert f": {key}: " in caught.value.message


def test_missing_file_is_a_settings_error(tmp_path):
    with pytest.raises(SettingsError, match="cannot be read"):
        read_platform_settings(str(tmp_path / "none"))


def test_lease_of_entries_lasts_three_heartbeats(tmp_path):
    found = read_platform_settings(write(tmp_path, settings_lines("vm-1", "127.0.0.1")))
    assert found.steering.lease == Lease(1.5, 3)


@pytest.mark.parametrize("text", ["x", "nan", "-1", "inf"])
def test_malformed_heartbeat_is_a_settings_error(tmp_path, text):
    lines = [*settings_lines("vm-1", "127.0.0.1"), f"heartbeatS={text}"]
    with pytest.raises(SettingsError, match="heartbeatS"):
        read_platform_settings(write(tmp_path, lines))


@pytest.mark.parametrize("text, first", [("true", True), ("false", False)])
def test_first_start_of_the_system_is_told_from_a_restart(tmp_path, text, first):
    lines = [*settings_lines("vm-1", "127.0.0.1"), f"firstStart={text}"]
    assert read_platform_settings(write(tmp_path, lines)).steering.first_start is first


def test_start_of_an_unknown_kind_is_taken_for_a_restart(tmp_path):
    lines = settings_lines("vm-1", "127.0.0.1")
    lines = [line for line in lines if not line.startswith("firstStart")]
    assert not read_platform_settings(write(tmp_path, lines)).steering.first_start


def test_malformed_first_start_is_a_settings_error(tmp_path):
    lines = [*settings_lines("vm-1", "127.0.0.1"), "firstStart=maybe"]
    with pytest.raises(SettingsError, match="firstStart: 'maybe' is neither true nor false"):
        read_platform_settings(write(tmp_path, lines))
