"""Benchmarks: `make measure` for service levels, bench.cost for the cost of a daemon."""
