"""A short run of the soak for each seed; those that ever failed stay here, with their cause."""

import os

import pytest

from tests.soak.play import play

SECONDS = 6
SEEDS = {
    1: "a fresh seed: stops, restarts, resets and cuts that overlap",
    7: "a fresh seed",
}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken(tmp_path, seed):
    block = f"127.{150 + os.getpid() % 50}.{seed % 200}"
    found, log, noted = play(seed, SECONDS, tmp_path, block)
    assert found == [], (log, (tmp_path / "vms.log").read_text()[-20000:])
    assert len(noted) > 100
