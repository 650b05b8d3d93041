"""Short soak runs; every seed that has failed is kept here with the cause."""

import os

import pytest

from tests.soak.play import run_seed

SEEDS = {
    1: (6, "new seed: overlapping shutdowns, restarts, resets and cuts"),
    7: (6, "new seed"),
    206: (12, "a pipelining caller took the end of its connection for a response"),
    302: (12, "the same caller took a partial response of a killed VM for a complete one"),
    305: (12, "a reset discarded an error response that closed its connection"),
    310: (12, "a pipelining caller read only after its last send had failed"),
    617: (
        8,
        "a VM kept a zone closed that a peer had reported in an outage, and that was open again",
    ),
}
"""Seconds of faults, and what the seed covers or failed on."""


@pytest.mark.parametrize("seed", SEEDS)
def test_no_invariant_is_violated(tmp_path, seed):
    block = f"127.{150 + os.getpid() % 50}.{seed % 200}"
    violations, log, attempts = run_seed(seed, SEEDS[seed][0], tmp_path, block)
    assert violations == [], (log, (tmp_path / "vms.log").read_text()[-20000:])
    assert len(attempts) > 100
