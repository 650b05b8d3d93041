"""A short run of the soak for each seed; those that ever failed stay here, with their cause."""

import os

import pytest

from tests.soak.play import play

SEEDS = {
    1: (6, "a fresh seed: stops, restarts, resets and cuts that overlap"),
    7: (6, "a fresh seed"),
    206: (12, "a caller that sends ahead took the end of its connection for an answer"),
    302: (12, "the same caller took the part of an answer for the whole, its VM was killed"),
    305: (12, "an error that closed a connection was lost to a reset"),
    310: (12, "a caller that sends ahead read only after its last send had failed"),
}
"""Seconds of faults, and what the seed is or was broken by."""


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken(tmp_path, seed):
    block = f"127.{150 + os.getpid() % 50}.{seed % 200}"
    found, log, noted = play(seed, SEEDS[seed][0], tmp_path, block)
    assert found == [], (log, (tmp_path / "vms.log").read_text()[-20000:])
    assert len(noted) > 100
