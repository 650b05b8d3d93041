"""Runs the test of each mechanism without that mechanism; the test must fail in some run."""

import os
import subprocess
import sys

PATH = "tests/integration/"
CASES = (
    ("no_fence", "test_limits.py::test_freeze_past_the_fence_and_thaw"),
    ("no_owner", "test_limits.py::test_steady_overload"),
    ("no_lent_limit", "test_limits.py::test_steady_overload"),
    (
        "no_predecessor",
        "test_limits.py::test_takeover_while_requests_of_the_frozen_owner_still_run",
    ),
    ("no_inflight_in_handover", "test_limits.py::test_hand_over_while_requests_run"),
    ("no_key_memory", "test_at_most_once.py::test_same_key_at_three_daemons_at_once"),
    (
        "void_always",
        "test_at_most_once.py::test_call_on_its_way_when_the_link_is_cut_is_voided_or_doubtful",
    ),
    ("no_cut_check", "test_at_most_once.py::test_upstream_that_cuts_the_connection"),
)
RUNS = 3


def main():
    """Run all cases, or those of the mechanisms named on the command line."""
    undetected = 0
    for mechanism, test in CASES:
        if sys.argv[1:] and mechanism not in sys.argv[1:]:
            continue
        failed = sum(_fails(mechanism, test) for _ in range(RUNS))
        print(f"without {mechanism}: {test} failed in {failed} of {RUNS} runs", flush=True)
        undetected += failed == 0
    sys.exit(1 if undetected else 0)


def _fails(mechanism, test):
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", PATH + test]
    env = {**os.environ, "ABLATE": mechanism}
    return subprocess.run(command, env=env, capture_output=True, timeout=300).returncode == 1


if __name__ == "__main__":
    main()
