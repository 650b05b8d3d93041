"""Tests of the handlers of requests without a daemon."""

import random
from types import SimpleNamespace

import pytest

from gypsumwind.calls import H_ATTEMPT, H_CLASS, H_KEY, H_TIMEOUT
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import RequestError
from gypsumwind.pages import MAX_KEY_CHARS, CallerHandler, read_call
from gypsumwind.settings import read_settings

CFG = read_settings(
    {"vm": "v", "zone": "z", "region": "r", "ip": "127.0.0.1", "store_url": "http://127.0.0.1:1"},
    {},
)


def exchange(**headers):
    return SimpleNamespace(
        method="GET",
        headers={H_TIMEOUT: "1000"} | headers,
        body=None,
        path="/v1/call/s/x",
        target="/v1/call/s/x",
        send_error=lambda exc, vm: None,
    )


@pytest.mark.parametrize("name", [H_KEY, H_ATTEMPT])
def test_keys_that_are_remembered_are_bounded(name):
    """Guards against 100,000 keys of 64 KB each."""
    longest = exchange(**{name: "k" * MAX_KEY_CHARS})
    assert read_call(CFG, longest, "s", "/x").method == "GET"
    with pytest.raises(RequestError) as caught:
        read_call(CFG, exchange(**{name: "k" * (MAX_KEY_CHARS + 1)}), "s", "/x")
    assert (caught.value.status, caught.value.verdict) == (400, Verdict.NOT_RUN)


def test_callers_make_no_labels_of_metrics_by_naming_classes():
    """Guards against a time series for each text that a caller sends."""
    labels = []
    metrics = SimpleNamespace(request=lambda *args: labels.append(args[2]))
    parts = SimpleNamespace(snapshots=SimpleNamespace(routes={}), metrics=metrics)
    handler = CallerHandler(CFG, parts, random.Random(1))
    for text in ("high", "x1", "x2"):
        handler.in_flight.try_acquire = lambda priority: False
        parts.home = SimpleNamespace()
        handler.handle(exchange(**{H_CLASS: text}))
    assert labels == ["high", "low", "low"]
