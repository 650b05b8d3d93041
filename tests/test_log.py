"""Logging never blocks and its volume is bounded."""

import os
import threading
import time

from gypsumwind import log as logs
from gypsumwind.log import BURST_LINES, QUEUE_LINES, LineBudget, Log, QueueHandler
from tests.standins.fleet import until


def test_budget_allows_a_burst_and_then_its_rate():
    budget = LineBudget(10.0, 5.0, 0.0)
    assert [budget.take(0.0) for _ in range(7)] == [True] * 5 + [False] * 2
    assert [budget.take(0.2) for _ in range(3)] == [True, True, False]
    assert sum(budget.take(100.0) for _ in range(20)) == 5


def test_lines_beyond_the_budget_are_suppressed_and_counted(monkeypatch):
    monkeypatch.setattr(logs, "_budgets", {})
    monkeypatch.setattr(logs.time, "monotonic", lambda: 100.0)
    before = logs.counts.suppressed
    log = Log("test")
    for _ in range(int(BURST_LINES) + 30):
        log.info("many")
    log.info("other")
    assert logs.counts.suppressed - before == 30


def test_blocked_output_blocks_no_caller_and_drops_are_counted(monkeypatch):
    monkeypatch.setattr(logs, "BURST_LINES", 1e9)
    monkeypatch.setattr(logs, "_budgets", {})
    reading, writing = os.pipe()
    before = logs.counts.dropped
    with os.fdopen(writing, "w") as stream:
        handler = QueueHandler(stream, "INFO")
        with handler.applicationbound():
            log = Log("test")
            done = threading.Event()

            def speak():
                for n in range(QUEUE_LINES + 3000):
                    log.info("line", number=n, text="x" * 100)
                done.set()

            threading.Thread(target=speak, daemon=True).start()
            assert done.wait(60)
            until(lambda: logs.counts.dropped > before, text="lines are dropped")
        os.set_blocking(reading, False)
        text = b""
        deadline = time.monotonic() + 30
        while b"number=100 " not in text and time.monotonic() < deadline:
            try:
                text += os.read(reading, 65536)
            except BlockingIOError:
                time.sleep(0.01)
        assert b"INFO test line number=0" in text
        os.set_blocking(reading, True)
        drain = threading.Thread(target=lambda: os.read(reading, 1 << 24), daemon=True)
        drain.start()
    os.close(reading)
