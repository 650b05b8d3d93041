"""Measurements: `make measure` for the users' measures, bench.cost for the cost of a daemon."""
