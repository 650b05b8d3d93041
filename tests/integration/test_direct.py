"""The direct way by real processes: callers, daemons, instances and the platform's store."""

import fcntl
import os
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from gypsumwind.core.delegates import delegates
from tests.standins import platform
from tests.standins.fleet import until
from tests.standins.steered import SIGNATURE, Site

PLACES = [("i-1", "lookup", "a1"), ("i-2", "lookup", "a1"), ("i-3", "files", "a1")]
BLOCK = f"127.{220 + os.getpid() % 30}"


@pytest.fixture
def fleet(tmp_path, request):
    vms = getattr(request, "param", ("a1",))
    with Site(tmp_path, f"{BLOCK}.9", PLACES, vms) as site:
        yield site.start_vms()


def first(fleet):
    return next(iter(fleet.vms.values()))


def log_of(vm):
    return vm.log_path.read_text()


def ran(fleet, request):
    return [r for up in fleet.instances.values() for r in up.ran if r[0] == request]


def test_answer_reaches_the_caller_unchanged_and_an_object_stays_at_its_home(fleet):
    vm = first(fleet)
    answers = [fleet.send(vm, request=f"r-{n}") for n in range(6)]
    homes = {answer.data.split()[0] for answer in answers}
    assert [a.status for a in answers] == [200] * 6 and len(homes) == 1
    assert answers[3].headers[SIGNATURE] == "signed.r-3"
    assert answers[3].data == (homes.pop() + b" r-3\n") * 20


def test_body_by_length_and_in_chunks_arrives_unchanged(fleet):
    vm = first(fleet)
    data = os.urandom(300_000)
    fleet.send(vm, "/put/a", "POST", "files.example", "r-1", body=data)
    fleet.send(vm, "/put/b?q=%2F", "POST", "files.example", "r-2", body=iter([data, b"end"]))
    assert fleet.instances["i-3"].ran == [
        ("r-1", "POST", "/put/a", data),
        ("r-2", "POST", "/put/b?q=%2F", data + b"end"),
    ]


@pytest.mark.parametrize("fleet", [("a1", "a1")], indirect=True)
def test_instance_that_says_that_it_leaves_gets_nothing_more_from_any_vm_of_the_zone(fleet):
    """Its entry stays as it is all the while."""
    one, other = fleet.vms.values()
    home = fleet.instances[fleet.send(one, request="r-0").data.split()[0].decode()]
    home.headers = {"Server-Leaving": "1"}
    assert fleet.send(one, request="r-1").status == 200
    until(lambda: f"instance-departs instance={home.name!r}" in log_of(other), text="heard")
    count = len(home.asked)
    answers = [fleet.send(vm, request=f"r-{vm.name}-{n}") for vm in (one, other) for n in range(5)]
    assert [a.status for a in answers] == [200] * 10 and len(home.asked) == count
    fleet.store.register(home.name, home.address, "lookup", "a1", born=2)
    home.headers = {}
    until(lambda: fleet.send(one, request="r-9") and len(home.asked) > count, text="new start")


def test_instance_that_asks_for_a_pause_gets_nothing(fleet):
    vm = first(fleet)
    home = fleet.instances[fleet.send(vm, request="r-0").data.split()[0].decode()]
    home.mode, home.headers = "shed", {"Retry-After": "2.5"}
    assert fleet.send(vm, request="r-1").status == 200
    count = len(home.asked)
    answers = [fleet.send(vm, request=f"r-2-{n}") for n in range(10)]
    assert [a.status for a in answers] == [200] * 10 and len(home.asked) == count
    home.mode, home.headers = "ok", {}
    until(lambda: fleet.send(vm, request="r-9") and len(home.asked) > count, text="used again")


def test_caller_is_told_when_instances_that_pause_take_requests_again(fleet):
    vm = first(fleet)
    fleet.set_instances(mode="shed", headers={"Retry-After": "3.5"})
    fleet.send(vm, request="r-1")
    answer = fleet.send(vm, request="r-2", headers={"Gypsumwind-Deadline-Ms": "2000"})
    assert answer.status == 503 and 1.0 < float(answer.headers["retry-after"]) < 6.0


@pytest.mark.parametrize("size", [20_000, 3_000_000])
@pytest.mark.parametrize("chunked", [False, True])
def test_upload_that_its_caller_cuts_is_not_run(fleet, size, chunked):
    """Small bodies are read whole before they are sent on, large ones are streamed."""
    sock = connect(first(fleet))
    kind = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
    head = f"POST /put/a HTTP/1.1\r\nHost: files.example\r\n{kind}\r\n"
    sock.sendall(f"{head}Gypsumwind-Request-Id: cut\r\n\r\n".encode())
    part = b"x" * (size // 4)
    sock.sendall((b"%x\r\n%b\r\n" % (len(part), part) if chunked else part) * 3)
    sock.close()
    assert fleet.send(first(fleet), "/put/b", "POST", "files.example", "r-2").status == 200
    time.sleep(0.5)
    assert [r[0] for r in fleet.instances["i-3"].ran] == ["r-2"]


def test_instance_gets_what_time_is_left_and_its_own_name(fleet):
    fleet.send(first(fleet), headers={"Gypsumwind-Deadline-Ms": "1500"})
    headers = [h for up in fleet.instances.values() for _, h in up.asked][0]
    assert 1000 < int(headers["gypsumwind-deadline-ms"]) <= 1500
    assert headers["gypsumwind-target-instance"] in fleet.instances
    assert headers["host"] == "api.example"


def test_no_rule_is_404(fleet):
    assert fleet.send(first(fleet), "/none/").status == 404


@pytest.mark.parametrize("mode", ["cut", "short", "unsigned", "fail"])
def test_idempotent_request_is_served_by_another_instance_after_a_fault(fleet, mode):
    fleet.set_instances(mode=mode)
    vm = first(fleet)
    failed = fleet.send(vm, request="r-0")
    assert (failed.status, SIGNATURE in failed.headers) == (
        (500, True) if mode == "fail" else (502, False)
    )
    home = next(up for up in fleet.instances.values() if ran(fleet, "r-0")[0] in up.ran)
    for up in fleet.instances.values():
        up.mode = "ok" if up is not home else mode
    assert fleet.send(vm, request="r-1").status == 200
    assert len(ran(fleet, "r-1")) == 2


@pytest.mark.parametrize("mode", ["cut", "short", "unsigned"])
def test_non_idempotent_request_runs_once_and_is_never_said_not_to_have_run(fleet, mode):
    fleet.set_instances(mode=mode)
    answer = fleet.send(first(fleet), "/book/x", "POST", body=b"1")
    assert answer.status == 502
    assert len(ran(fleet, "r-1")) == 1


def test_instances_own_failure_of_a_request_that_may_not_repeat_is_passed_on(fleet):
    fleet.set_instances(mode="fail")
    answer = fleet.send(first(fleet), "/book/x", "POST", body=b"1")
    assert answer.status == 500 and answer.headers[SIGNATURE] == "signed.r-1"
    assert len(ran(fleet, "r-1")) == 1


def test_shed_request_goes_to_another_instance_whatever_its_kind(fleet):
    vm = first(fleet)
    fleet.send(vm, "/book/x", "POST", request="r-0", body=b"1")
    home = next(up for up in fleet.instances.values() if up.ran)
    home.mode = "shed"
    assert fleet.send(vm, "/book/x", "POST", request="r-1", body=b"1").status == 200
    assert len(ran(fleet, "r-1")) == 1


def test_all_shed_is_a_refusal_with_a_time_to_come_back(fleet):
    fleet.set_instances(mode="shed")
    answer = fleet.send(first(fleet), "/book/x", "POST", body=b"1")
    assert answer.status == 503 and float(answer.headers["Retry-After"]) > 0
    assert not ran(fleet, "r-1")


def test_second_answer_on_a_connection_reaches_nobody(fleet):
    vm = first(fleet)
    fleet.set_instances(mode="extra")
    for n in range(8):
        answer = fleet.send(vm, request=f"r-{n}")
        assert answer.status == 200 and answer.headers[SIGNATURE] == f"signed.r-{n}"


def test_address_that_another_instance_has_now_runs_nothing(fleet):
    fleet.store.remove("servers", "i-2")
    fleet.store.register("i-9", fleet.instances["i-1"].address)
    fleet.store.remove("servers", "i-1")
    vm = first(fleet)
    until(lambda: "count=2" in fleet.logs(), text="the list is in force")
    answer = fleet.send(vm, "/book/x", "POST", body=b"1")
    assert answer.status == 503 and not ran(fleet, "r-1")


def test_caller_that_leaves_ends_the_work(fleet):
    vm = first(fleet)
    fleet.set_instances(work_s=5.0)
    with socket.create_connection((vm.ip, platform.FRONT)) as sock:
        sock.sendall(
            b"GET /read/x HTTP/1.1\r\nHost: api.example\r\n"
            b"Gypsumwind-Request-Id: r-1\r\nGypsumwind-Deadline-Ms: 9000\r\n\r\n"
        )
        until(lambda: ran(fleet, "r-1"), text="the request runs")
    until(lambda: any(up.broken_off == ["r-1"] for up in fleet.instances.values()))


def test_requests_sent_ahead_are_answered_in_order(fleet):
    vm = first(fleet)
    parts = [
        f"GET /read/%2f{n} HTTP/1.1\r\nHost: api.example\r\nGypsumwind-Request-Id: r-{n}\r\n\r\n"
        for n in range(4)
    ]
    with socket.create_connection((vm.ip, platform.FRONT)) as sock:
        sock.settimeout(10)
        sock.sendall("".join(parts).encode())
        data = b""
        while data.count(b"signed.r-") < 4 or not data.endswith(b"r-3\n"):
            data += sock.recv(65536)
    places = [data.index(f"signed.r-{n}".encode()) for n in range(4)]
    assert places == sorted(places)
    assert ran(fleet, "r-2")[0][2] == "/read/%2f2"


def send_pipelined(vm, requests):
    """Send requests on one connection without waiting; returns the open socket."""
    sock = socket.create_connection((vm.ip, platform.FRONT))
    sock.settimeout(10)
    for name, line in requests:
        sock.sendall(pipelined_request(name, line))
        time.sleep(0.1)
    return sock


def pipelined_request(name, line):
    """Return a request that may be sent ahead of the answer to the one before it."""
    return (
        f"{line} HTTP/1.1\r\nHost: api.example\r\nGypsumwind-Request-Id: {name}\r\n"
        f"Gypsumwind-Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def read_until(sock, done):
    data = b""
    while not done(data) and (part := sock.recv(65536)):
        data += part
    return data


def test_requests_sent_ahead_run_at_the_same_time(fleet):
    fleet.set_instances(work_s=2.0)
    asked = [(f"r-{n}", f"GET /read/{n}") for n in range(4)]
    with send_pipelined(first(fleet), asked) as sock:
        until(lambda: sum(len(up.ran) for up in fleet.instances.values()) == 4, timeout=1.8)
        data = read_until(sock, lambda d: d.endswith(b"r-3\n"))
    places = [data.index(f"signed.r-{n}".encode()) for n in range(4)]
    assert places == sorted(places) and data.count(b"200 OK") == 4


def test_request_that_may_not_repeat_waits_for_its_turn(fleet):
    fleet.set_instances(work_s=1.0)
    with send_pipelined(first(fleet), [("r-0", "GET /read/0"), ("r-1", "POST /book/1")]) as sock:
        until(lambda: ran(fleet, "r-0"))
        time.sleep(0.5)
        assert not ran(fleet, "r-1")
        data = read_until(sock, lambda d: d.endswith(b"r-1\n"))
    assert data.count(b"200 OK") == 2 and len(ran(fleet, "r-1")) == 1


def test_caller_that_leaves_ends_also_what_it_sent_ahead(fleet):
    fleet.set_instances(work_s=5.0)
    with send_pipelined(first(fleet), [("r-0", "GET /read/0"), ("r-1", "GET /read/1")]):
        until(lambda: ran(fleet, "r-0") and ran(fleet, "r-1"))
    until(lambda: sum(len(up.broken_off) for up in fleet.instances.values()) == 2)


def test_malformed_request_sent_ahead_is_answered_in_its_turn(fleet):
    fleet.set_instances(work_s=1.0)
    with send_pipelined(first(fleet), [("r-0", "GET /read/0"), ("r-1", "GET nowhere")]) as sock:
        data = read_until(sock, lambda d: b" 400 " in d)
    assert data.index(b"signed.r-0") < data.index(b" 400 ")


def send_during_stop(vm, name, stopped, offset):
    """Use a kept connection once, then again some time into a stop; returns the second answer."""
    line = f"GET /read/x HTTP/1.1\r\nHost: api.example\r\nGypsumwind-Request-Id: {name}"
    with socket.create_connection((vm.ip, platform.FRONT)) as sock:
        sock.settimeout(10)
        sock.sendall(f"{line}-first\r\n\r\n".encode())
        read_until(sock, lambda d: d.endswith(b"-first\n"))
        stopped.wait()
        time.sleep(offset)
        try:
            sock.sendall(f"{line}\r\n\r\n".encode())
            return read_until(sock, lambda d: d.endswith(f"{name}\n".encode()) or b" 503 " in d)
        except OSError:
            return b""


@pytest.mark.parametrize("offset", [0.5, 2.05, 2.1, 2.5, 3.0, 3.1])
def test_planned_stop_cuts_no_request_that_comes_late_on_a_kept_connection(fleet, offset):
    vm = first(fleet)
    stopped = threading.Event()
    with ThreadPoolExecutor(40) as pool:
        late = [pool.submit(send_during_stop, vm, f"r-{n}", stopped, offset) for n in range(40)]
        until(lambda: sum(len(up.ran) for up in fleet.instances.values()) == 40)
        fleet.set_instances(work_s=0.3)
        vm.process.send_signal(signal.SIGTERM)
        stopped.set()
        answers = [fut.result() for fut in late]
    assert vm.process.wait(15) == 0
    cut = [n for n in range(40) if ran(fleet, f"r-{n}") and b" 200 OK" not in answers[n]]
    assert not cut


def test_planned_stop_answers_what_was_begun_ahead(fleet):
    vm = first(fleet)
    fleet.set_instances(work_s=1.5)
    with send_pipelined(vm, [("r-0", "GET /read/0"), ("r-1", "GET /read/1")]) as sock:
        until(lambda: ran(fleet, "r-0") and ran(fleet, "r-1"))
        assert vm.stop() == 0
        data = read_until(sock, lambda d: False)
    assert data.count(b"200 OK") == 2 and b"Connection: close" in data


def test_planned_stop_begins_nothing_behind_a_request_that_may_outlast_it(fleet):
    vm = first(fleet)
    set_timeout(fleet, 20)
    fleet.set_instances(work_s=8.0)
    with send_pipelined(vm, [("r-0", "GET /read/0")]) as sock:
        sock.sendall(pipelined_request("r-1", "GET /read/1"))
        until(lambda: ran(fleet, "r-1"), text="read ahead before the stop")
        vm.process.send_signal(signal.SIGTERM)
        until(lambda: "direct leaving" in fleet.logs())
        sock.sendall(pipelined_request("r-2", "GET /read/2"))
        assert vm.process.wait(15) == 0
    assert not ran(fleet, "r-2")


def test_request_that_outlasts_a_planned_stop_is_given_up_and_what_is_behind_it_answered(fleet):
    vm = first(fleet)
    set_timeout(fleet, 20)
    fleet.set_instances(work_s=8.0)
    with send_pipelined(vm, [("r-0", "GET /read/0")]) as sock:
        until(lambda: ran(fleet, "r-0"))
        fleet.set_instances(work_s=0.1)
        sock.sendall(pipelined_request("r-1", "GET /read/1"))
        until(lambda: ran(fleet, "r-1"))
        assert vm.stop() == 0
        data = read_until(sock, lambda d: False).decode()
    assert data.startswith("HTTP/1.1 504 ") and "may-have-run" in data
    assert data.count(" 200 OK") == 1 and data.endswith("r-1\n")


def set_timeout(fleet, seconds):
    """Put a configuration in force that gives all routes this time-out."""
    fleet.store.put("config", "main", platform.config(13, seconds))
    until(lambda: "version=13" in fleet.logs(), text="the version is in force")


def test_route_times_out_with_an_answer(fleet):
    set_timeout(fleet, 0.5)
    fleet.set_instances(work_s=3.0)
    assert fleet.send(first(fleet)).status == 504


def test_changed_configuration_is_in_force_and_an_older_one_is_not_taken(fleet):
    vm = first(fleet)
    doc = platform.config(15)
    doc["listeners"][0]["routingRules"][0]["match"]["pathPrefix"] = "/new/"
    fleet.store.put("config", "main", doc)
    until(lambda: fleet.send(vm, "/new/x").status == 200, text="the new route is served")
    assert fleet.send(vm, "/read/x").status == 404
    fleet.store.put("config", "main", platform.CONFIG)
    time.sleep(0.5)
    assert fleet.send(vm, "/new/x").status == 200


@pytest.mark.parametrize("fleet", [("a1", "a1", "b1")], indirect=True)
def test_look_up_names_live_vms_of_the_region_and_drops_those_that_stop(fleet):
    vms = list(fleet.vms.values())
    mine = {f"{vm.ip}:{platform.FRONT}" for vm in vms[:2]}
    until(lambda: set(vms[2].resolve("a1")) == mine, text="both VMs of the zone are named")
    assert vms[0].stop() == 0
    left = {f"{vms[1].ip}:{platform.FRONT}"}
    assert set(vms[1].resolve("a1")) == set(vms[2].resolve("a1")) == left
    vms[1].kill()
    there = {f"{vms[2].ip}:{platform.FRONT}"}
    until(lambda: set(vms[2].resolve("a1")) == there, text="the other region stands in")


def test_planned_stop_finishes_what_runs(fleet):
    vm = first(fleet)
    fleet.set_instances(work_s=1.0)
    with socket.create_connection((vm.ip, platform.FRONT)) as sock:
        sock.settimeout(10)
        sock.sendall(
            b"GET /read/x HTTP/1.1\r\nHost: api.example\r\n"
            b"Gypsumwind-Request-Id: r-1\r\nGypsumwind-Deadline-Ms: 4000\r\n\r\n"
        )
        until(lambda: ran(fleet, "r-1"), text="the request runs")
        assert vm.stop() == 0
        data = b""
        while part := sock.recv(65536):
            data += part
    assert b"200 OK" in data and b"Connection: close" in data and data.count(b" r-1\n") == 20


@pytest.mark.parametrize("fleet", [("a1", "a1")], indirect=True)
def test_store_down_serving_goes_on_and_a_new_vm_learns_from_its_peers(fleet):
    vms = list(fleet.vms.values())
    fleet.store.set_mode("reset")
    vms[0].kill()
    vms[0].start()
    until(vms[0].ready, text="a VM that started without the store is ready")
    for vm in vms:
        assert fleet.send(vm, request=f"r-{vm.name}").status == 200


def test_hangup_signal_reads_the_settings_and_cuts_nothing(fleet):
    vm = first(fleet)
    fleet.set_instances(work_s=0.5)
    vm.path.write_text(vm.path.read_text().replace("coldSlack=5", "coldSlack=7"))
    vm.process.send_signal(signal.SIGHUP)
    assert fleet.send(vm).status == 200
    until(lambda: "settings-read changed=True" in fleet.logs(), text="the change is in force")


@pytest.mark.parametrize("fleet", [("a1", "a1")], indirect=True)
def test_vms_whose_seeds_are_gone_find_each_other_by_the_store(fleet):
    vms = list(fleet.vms.values())
    for vm in vms:
        vm.kill()
    for vm in vms:
        vm.start(seeds=("127.0.0.99",))
    both = {f"{vm.ip}:{platform.FRONT}" for vm in vms}
    until(lambda: set(vms[0].resolve()) == set(vms[1].resolve()) == both, text="both are named")


def test_vm_that_knows_no_configuration_says_503_and_not_404(tmp_path):
    with Site(tmp_path, f"{BLOCK}.9", PLACES) as site:
        site.store.set_mode("busy")
        vm = first(site).start()
        answer = until(
            lambda: vm.get(platform.READY, "/ready")[0] and site.send(vm), text="it answers"
        )
        assert answer.status == 503 and not vm.ready()
        assert float(answer.headers["Retry-After"]) > 0
        site.store.set_mode("ok")
        until(vm.ready)
        assert site.send(vm).status == 200


def connect(vm):
    return socket.create_connection((vm.ip, platform.FRONT), 5)


def read_all(sock):
    sock.settimeout(20)
    data = b""
    while part := sock.recv(65536):
        data += part
    return data


def limit_callers(fleet, **limits):
    """Change the limits of the configuration and wait until a caller notices the shortest."""
    config = platform.config(13)
    config["limits"].update(limits)
    fleet.store.put("config", "main", config)
    until(lambda: "rules-in-force version=13" in fleet.logs(), text="the limits are in force")


def test_head_that_comes_byte_by_byte_is_ended_and_said_not_to_have_run(fleet):
    limit_callers(fleet, headerTimeoutS=1)
    vm = first(fleet)
    time.sleep(1.5)
    with connect(vm) as sock:
        sock.sendall(b"GET /read/x HTTP/1.1\r\nHost: api.example\r\nGypsumwind-Req")
        assert read_all(sock).startswith(b"HTTP/1.1 408 ")
    assert fleet.send(vm).status == 200


def test_head_that_is_too_long_is_refused(fleet):
    limit_callers(fleet, maxHeaderBytes=2000)
    vm = first(fleet)
    until(lambda: fleet.send(vm, headers={"X-Long": "x" * 3000}).status == 413)
    assert fleet.send(vm).status == 200


def test_connections_without_a_request_take_no_thread_and_end_after_the_idle_time(fleet):
    limit_callers(fleet, idleTimeoutS=2)
    vm = first(fleet)
    time.sleep(1.5)
    socks = [connect(vm) for _ in range(200)]
    assert fleet.send(vm).status == 200
    assert [read_all(sock) for sock in socks] == [b""] * 200
    for sock in socks:
        sock.close()


def split_zone(fleet):
    """Return the delegates of zone a1 and its other VMs, once these follow the delegates."""
    names = delegates("a1", fleet.vms)
    others = [vm for vm in fleet.vms.values() if vm.name not in names]
    for vm in others:
        until(lambda vm=vm: follows(vm, names), text=f"{vm.name} follows a delegate")
    return [fleet.vms[name] for name in names], others


def follows(vm, names):
    """Tell whether a VM has all its feeds from one of the VMs named, by the last line of each."""
    lines = [li for li in vm.log_path.read_text().splitlines() if "feed-source" in li]
    last = {line.split("feed='")[1].split("'")[0]: line for line in lines}
    return len(last) == 3 and all(
        any(f"source='{name}'" in line for name in names) for line in last.values()
    )


@pytest.mark.parametrize("fleet", [("a1",) * 5], indirect=True)
def test_followers_of_a_large_zone_call_the_store_hardly_and_learn_all(fleet):
    _, others = split_zone(fleet)
    fleet.store.callers.clear()
    fleet.store.register("i-2", fleet.instances["i-2"].address, state="draining")
    time.sleep(5)
    for vm in others:
        assert fleet.store.callers[vm.ip] <= 2
    home = {fleet.send(vm, request=f"{vm.name}-{n}").data.split()[0] for vm in others for n in "ab"}
    assert home == {b"i-1"}


@pytest.mark.parametrize("fleet", [("a1",) * 4], indirect=True)
def test_followers_go_on_when_their_delegates_are_killed_or_cut_off(fleet):
    relays, others = split_zone(fleet)
    relays[0].kill()
    relays[1].process.send_signal(signal.SIGSTOP)
    fleet.store.remove("servers", "i-2")
    try:
        until(lambda: all("count=2" in vm.log_path.read_text() for vm in others), timeout=20)
        assert [fleet.send(vm).status for vm in others] == [200, 200]
    finally:
        relays[1].process.send_signal(signal.SIGCONT)


def test_blocked_output_of_a_daemon_blocks_no_caller(tmp_path):
    """Nobody reads the pipe, which is full after some twenty lines; requests go on."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    with Site(tmp_path, f"{BLOCK}.9", PLACES) as site:
        vm = first(site).start(stdout=writer)
        until(vm.ready, text="the VM is ready")
        assert {site.send(vm, request=f"r-{n}").status for n in range(200)} == {200}
    os.close(reader)
    os.close(writer)


def test_request_that_comes_while_the_configuration_is_read_is_served(tmp_path):
    """All VMs of a fleet have started again, and callers reach them at once."""
    with Site(tmp_path, f"{BLOCK}.9", PLACES) as site:
        site.store.delay_s = 0.3
        vm = first(site).start()
        until(lambda: is_open(vm), text="the caller port is open")
        assert site.send(vm).status == 200


def is_open(vm):
    try:
        connect(vm).close()
    except OSError:
        return False
    return True
