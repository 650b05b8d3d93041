"""Logging never blocks and its volume is bounded."""

import os
import queue
import threading
from types import SimpleNamespace

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


def read_all(reading, text):
    """Read a pipe to its end."""
    while part := os.read(reading, 65536):
        text += part


def test_lines_are_written_though_others_come_as_fast(monkeypatch):
    written = threading.Event()

    class EndlessQueue(queue.Queue):
        """A queue that is filled as fast as it is emptied, until something was written."""

        def get(self, *_, **__):
            if written.is_set():
                threading.Event().wait()
            return "line"

        def get_nowait(self):
            return "line"

        def empty(self):
            return written.is_set()

        def qsize(self):
            return 10

    monkeypatch.setattr(logs.queue, "Queue", EndlessQueue)
    QueueHandler(SimpleNamespace(write=lambda _: written.set(), flush=lambda: None), "INFO")
    assert written.wait(10)


def test_blocked_output_blocks_no_caller_and_drops_are_counted(monkeypatch):
    monkeypatch.setattr(logs, "BURST_LINES", 1e9)
    monkeypatch.setattr(logs, "_budgets", {})
    reading, writing = os.pipe()
    before = logs.counts.dropped
    text = bytearray()
    handler = QueueHandler(os.fdopen(writing, "w"), "INFO")
    done = threading.Event()

    def speak():
        log = Log("test")
        with handler.threadbound():
            for n in range(3 * QUEUE_LINES):
                log.info("line", number=n, text="x" * 100)
        done.set()

    threading.Thread(target=speak, daemon=True).start()
    assert done.wait(60)
    assert logs.counts.dropped > before
    threading.Thread(target=read_all, args=(reading, text), daemon=True).start()
    until(lambda: b"INFO test line number=100 " in text, text="what was queued is written")
    assert b"INFO test line number=0 " in text
