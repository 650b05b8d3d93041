"""Randomized soak of direct mode: daemon processes, injected faults, invariants checked."""
