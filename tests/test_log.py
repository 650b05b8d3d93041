"""Logging never blocks and its volume is bounded."""

import os
import queue
import threading
from types import SimpleNamespace

from gypsumwind import log as logs
from gypsumwind.log import BURST_LINES, MAX_QUEUED_LINES, LineTokenBucket, Log, QueueHandler
from tests.standins.fleet import wait_until


def test_token_bucket_allows_a_burst_and_then_its_rate():
    bucket = LineTokenBucket(10.0, 5.0, 0.0)
    assert [bucket.take(0.0) for _ in range(7)] == [True] * 5 + [False] * 2
    assert [bucket.take(0.2) for _ in range(3)] == [True, True, False]
    assert sum(bucket.take(100.0) for _ in range(20)) == 5


def test_lines_beyond_the_rate_limit_are_suppressed_and_counted(monkeypatch):
    monkeypatch.setattr(logs, "_buckets", {})
    monkeypatch.setattr(logs.time, "monotonic", lambda: 100.0)
    before = logs.line_counts.suppressed
    log = Log("test")
    for _ in range(int(BURST_LINES) + 30):
        log.info("many")
    log.info("other")
    assert logs.line_counts.suppressed - before == 30


def read_all(read_fd, text):
    """Append what a pipe delivers to a buffer, up to the end of the pipe."""
    while part := os.read(read_fd, 65536):
        text += part


def test_lines_are_written_while_others_arrive_as_fast(monkeypatch):
    written = threading.Event()

    class EndlessQueue(queue.Queue):
        """A queue that is refilled as fast as it is emptied, until something has been written."""

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


def test_blocked_output_does_not_block_callers_and_drops_are_counted(monkeypatch):
    monkeypatch.setattr(logs, "BURST_LINES", 1e9)
    monkeypatch.setattr(logs, "_buckets", {})
    read_fd, write_fd = os.pipe()
    before = logs.line_counts.dropped
    text = bytearray()
    handler = QueueHandler(os.fdopen(write_fd, "w"), "INFO")
    done = threading.Event()

    def log_lines():
        log = Log("test")
        with handler.threadbound():
            for n in range(3 * MAX_QUEUED_LINES):
                log.info("line", number=n, text="x" * 100)
        done.set()

    threading.Thread(target=log_lines, daemon=True).start()
    assert done.wait(60)
    assert logs.line_counts.dropped > before
    threading.Thread(target=read_all, args=(read_fd, text), daemon=True).start()
    wait_until(lambda: b"INFO test line number=100 " in text, text="queued lines are written")
    assert b"INFO test line number=0 " in text


def test_long_text_of_a_caller_makes_no_long_line():
    """Guards against a queue of lines that holds many times its planned memory."""
    line = str(logs._LazyLine("event", {"id": "x" * 60_000, "short": "y"}))
    assert len(line) < 2 * logs.MAX_VALUE_CHARS and "(60000)" in line and "short='y'" in line
