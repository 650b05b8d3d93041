"""At-most-once execution and correct verdicts, checked against the upstreams' run log."""

import threading
import time

import pytest

from tests.standins.fleet import Fleet, Service, wait_until

PAST_DEADLINE_S = 4.0
ZONES = {"accra-a": ("accra", 2), "accra-b": ("accra", 1), "kumasi-a": ("kumasi", 1)}


@pytest.fixture
def fleet():
    services = [Service("signoff", cells={"local_bias": 1.0})]
    with Fleet(ZONES, services) as running:
        yield running.start_vms()


def in_background(function, *args, **kwargs):
    """Run a function in a thread; return a list that receives its result, and the thread."""
    results = []
    thread = threading.Thread(target=lambda: results.append(function(*args, **kwargs)))
    thread.start()
    return results, thread


def post(caller, vm, key, path="/book", **headers):
    return caller.send(
        "signoff", path, "POST", b"vent 7", {"Idempotency-Key": key, **headers}, url=vm.url
    )


def check_log(fleet, replies):
    """Check that no key ran twice, and none whose reply has the verdict not-run ran at all."""
    runs = fleet.log.run_counts()
    assert all(count == 1 for count in runs.values()), runs
    for key, reply in replies:
        if reply.verdict == "not-run":
            assert key not in runs, (key, reply)


def test_same_key_at_three_daemons_at_once(fleet):
    caller = fleet.caller("accra-a")
    replies = []
    for n in range(10):
        key = caller.key("signoff", f"k{n}")
        pending = [
            in_background(post, caller, vm, key, "/book?ms=100") for vm in fleet.vms.values()
        ]
        for found, thread in pending:
            thread.join()
            replies.append((key, found[0]))
    check_log(fleet, replies)
    assert {r.verdict for _, r in replies} <= {"answered", "may-have-run"}
    assert len(fleet.log.run_counts()) == 10


def test_key_without_prefix_at_three_daemons_at_once_and_with_the_store_down(fleet):
    caller = fleet.caller("accra-a")
    pending = [
        in_background(post, caller, vm, "clinic-42", "/book?ms=100") for vm in fleet.vms.values()
    ]
    replies = []
    for found, thread in pending:
        thread.join()
        replies.append(("clinic-42", found[0]))
    check_log(fleet, replies)
    assert fleet.log.run_counts()["clinic-42"] == 1
    fleet.store.set_mode("down")
    reply = post(caller, fleet.vms["accra-a-1"], "clinic-43")
    assert (reply.verdict, reply.code) == ("may-have-run", "GW314")
    assert reply.headers["retry-after"]
    assert "clinic-43" not in fleet.log.run_counts()


def test_key_after_its_home_was_killed_and_restarted(fleet):
    caller = fleet.caller("accra-a")
    home = fleet.vms["accra-a-1"]
    key = home.get("/v1/entries?service=signoff")["key_prefix"]
    names = {vm.name: vm for vm in fleet.vms.values()}
    home = names[key.split(".")[0]]
    key += "once"
    assert post(caller, home, key).verdict == "answered"
    home.kill()
    other = next(vm for vm in fleet.vms.values() if vm is not home)
    assert post(caller, other, key).verdict == "may-have-run"
    home.start()
    wait_until(lambda: home.get("/readyz"))
    replies = [(key, post(caller, vm, key)) for vm in fleet.vms.values()]
    assert {r.verdict for _, r in replies} == {"may-have-run"}
    check_log(fleet, replies)


def test_home_frozen_while_its_request_runs(fleet):
    caller = fleet.caller("accra-a")
    home = fleet.vms["accra-a-1"]
    key = _prefix_of(home) + "frozen"
    found, thread = in_background(post, caller, home, key, "/book?ms=500")
    wait_until(lambda: fleet.log.run_counts().get(key))
    home.pause()
    other = post(caller, fleet.vms["kumasi-a-1"], key, **{"Gypsumwind-Timeout-Ms": "1500"})
    home.resume()
    thread.join()
    assert other.verdict == "may-have-run"
    check_log(fleet, [(key, other), (key, found[0])])


def _prefix_of(vm):
    """Return a key prefix whose home is this VM."""
    page = vm.get("/v1/entries?service=signoff")
    entry = next(e for e in page["entries"] if e["vm"] == vm.name)
    return entry["key_prefix"]


@pytest.mark.parametrize("mode", ["cut-before", "cut-answer", "cut-middle"])
def test_upstream_that_cuts_the_connection(fleet, mode):
    for up in fleet.upstreams.values():
        up.mode = mode
    caller = fleet.caller("accra-a")
    replies = []
    for n in range(5):
        key = caller.key("signoff", f"{mode}-{n}")
        replies.append((key, post(caller, fleet.vms["accra-a-1"], key, "/book?size=2000")))
    for up in fleet.upstreams.values():
        up.mode = "ok"
    for key, reply in replies:
        assert reply.verdict != "answered" or reply.error, reply
        again = post(caller, fleet.vms["accra-a-1"], key, "/book?size=2000")
        assert again.verdict == "may-have-run"
        reused = post(caller, fleet.vms["accra-a-1"], key, "/other")
        assert (reused.status, reused.verdict) == (422, "may-have-run")
    check_log(fleet, replies)


def test_gateway_killed_while_it_serves_a_call_from_another_zone(fleet):
    caller = fleet.caller("accra-b")
    router, gateway = fleet.vms["accra-b-1"], fleet.vms["kumasi-a-1"]
    fleet.set_cell("signoff", "accra", "weight", 0.0)
    wait_until(lambda: router.status()["weights"]["signoff"]["accra"] == 0.0)
    key = _prefix_of(router) + "cross"
    found, thread = in_background(post, caller, router, key, "/book?ms=1000")
    wait_until(lambda: fleet.log.run_counts().get(key))
    gateway.kill()
    thread.join()
    assert found[0].verdict == "may-have-run"
    check_log(fleet, [(key, found[0])])


def test_call_on_its_way_when_the_link_is_cut_is_voided_or_doubtful(fleet):
    """The answer is lost on the link: an admitted attempt may have run and is not retried."""
    caller = fleet.caller("accra-b")
    router, gateway = fleet.vms["accra-b-1"], fleet.vms["kumasi-a-1"]
    fleet.set_cell("signoff", "accra", "weight", 0.0)
    wait_until(lambda: router.status()["weights"]["signoff"]["accra"] == 0.0)
    fleet.proxy.set_fault(router.real_ip, gateway.real_ip, lose_answers=True)
    replies = []
    for n in range(5):
        key = _prefix_of(router) + f"lost{n}"
        reply = post(caller, router, key, **{"Gypsumwind-Timeout-Ms": "2000"})
        replies.append((key, reply))
    fleet.proxy.heal()
    check_log(fleet, replies)
    assert any(r.verdict == "may-have-run" for _, r in replies)


def test_late_copy_to_a_frozen_gateway_is_not_run_after_voiding(fleet):
    """The request waits in the frozen gateway's socket buffer; after the thaw it is too late."""
    caller = fleet.caller("accra-b")
    router, gateway = fleet.vms["accra-b-1"], fleet.vms["kumasi-a-1"]
    fleet.set_cell("signoff", "accra", "weight", 0.0)
    wait_until(lambda: router.status()["weights"]["signoff"]["accra"] == 0.0)
    gateway.pause()
    key = _prefix_of(router) + "late"
    reply = post(caller, router, key, **{"Gypsumwind-Timeout-Ms": "1000"})
    time.sleep(PAST_DEADLINE_S)
    gateway.resume()
    wait_until(lambda: gateway.get("/healthz"))
    again = post(caller, router, key)
    check_log(fleet, [(key, reply), (key, again)])
    assert reply.verdict in ("may-have-run", "not-run")
