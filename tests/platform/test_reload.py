import pytest

from gypsumwind.platform.reload import ReloadTask
from gypsumwind.platform.settings import read_platform_settings
from tests.standins.platform import settings_lines


@pytest.fixture
def reload(tmp_path):
    path = tmp_path / "settings.conf"
    lines = settings_lines("vm-1", "127.0.0.1")
    path.write_text("\n".join(lines))
    applied = []
    task = ReloadTask(str(path), read_platform_settings(str(path)), applied.append)

    def write(old, new):
        path.write_text(path.read_text().replace(old, new))

    return task, write, applied


def test_change_without_a_signal_is_applied_once(reload):
    task, write, applied = reload
    task.step()
    assert not applied
    write("bounds.coldSlack=5", "bounds.coldSlack=8")
    task.step()
    task.step()
    assert [steering.cold_slack_per_s for steering in applied] == [8]


def test_invalid_file_changes_nothing_and_a_corrected_one_is_applied(reload):
    task, write, applied = reload
    write("bounds.coldSlack=5", "bounds.coldSlack=much")
    task.request_reload()
    task.step()
    assert not applied
    write("bounds.coldSlack=much", "bounds.coldSlack=9")
    task.step()
    assert [steering.cold_slack_per_s for steering in applied] == [9]


def test_changed_address_is_not_applied_without_a_restart(reload):
    task, write, applied = reload
    write("listen.front=127.0.0.1:18381", "listen.front=127.0.0.1:18399")
    task.step()
    assert not applied
