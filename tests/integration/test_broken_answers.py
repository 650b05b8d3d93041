"""Instances whose answers are broken, by real processes: callers get an error or a sound answer."""

import os

import pytest

from tests.standins.fleet import wait_until
from tests.standins.steered import DirectFleet

INSTANCES = [("lookup-1", "lookup", "a1"), ("lookup-2", "lookup", "a1")]
BLOCK = f"127.{150 + os.getpid() % 30}"
UPLOAD = b"u" * 8 * 1024 * 1024


@pytest.fixture
def fleet(tmp_path):
    with DirectFleet(tmp_path, f"{BLOCK}.15", INSTANCES) as site:
        yield site.start_vms()


def runs(fleet):
    return sum(len(up.ran) for up in fleet.instances.values())


def test_part_of_an_answer_that_is_reset_during_an_upload_is_not_passed_on(fleet):
    """Guards against an upload that counts as stored though its instance broke off (MIXED)."""
    vm = fleet.vms["vm-1"]
    fleet.set_instances(mode="reset")
    statuses = []
    for n in range(5):
        answer = fleet.send(vm, "/book/x", "POST", request=f"upload-{n}", body=UPLOAD)
        assert b"a part" not in answer.data
        statuses.append(answer.status)
    # Instances that failed are left out, so that later uploads are refused without having run.
    assert statuses[0] == 502 and set(statuses) <= {502, 503}
    assert runs(fleet) == statuses.count(502)


@pytest.mark.parametrize(
    ("line", "kind"),
    [
        (b"Content-Length : 5", "malformed field name"),
        (b"Content-Length: 5x", "malformed Content-Length"),
        (b"nothing of the kind", "line without a colon among the fields"),
        (b"X\x00A: 1", "malformed field name"),
        (b"Transfer-Encoding: chunked", "Content-Length beside Transfer-Encoding"),
    ],
)
def test_malformed_answers_are_not_passed_on_and_sound_ones_are_again(fleet, line, kind):
    vm = fleet.vms["vm-1"]
    fleet.set_instances(mode="malformed", malformed=line)
    booked = fleet.send(vm, "/book/x", "POST", request="book-1", body=b"b")
    assert booked.status == 502 and runs(fleet) == 1
    read = fleet.send(vm, request="read-1")
    assert read.status in (502, 503)
    wait_until(lambda: f"MalformedResponseError: {kind}" in fleet.logs(), text="the log tells it")
    line = next(x for x in fleet.logs().splitlines() if kind in x)
    assert "request-sent id='book-1'" in line and "outcome='cut'" in line
    assert any(f"instance={name!r}" in line for name in fleet.instances)

    fleet.set_instances(mode="ok")
    wait_until(lambda: fleet.send(vm, request="read-2").status == 200, text="sound answers pass")


def test_read_whose_answer_is_malformed_is_served_by_another_instance(fleet):
    vm = fleet.vms["vm-1"]
    broken = fleet.instances["lookup-1"]
    broken.mode, broken.malformed = "malformed", b"X A: 1"
    for n in range(10):
        headers = {"Gypsumwind-Affinity-Key": str(n)}
        answer = fleet.send(vm, request=f"read-{n}", headers=headers)
        assert answer.status == 200 and answer.data == f"lookup-2 read-{n}\n".encode() * 20
    assert broken.ran
