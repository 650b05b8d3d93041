"""Rendezvous hashing: which VM of a set is named for a key.

Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash


def rank(key: str, vm: str) -> int:
    """Return the rank of a VM for a key; the greatest is named."""
    return xxhash.xxh64_intdigest(f"{key}\x00{vm}".encode())


def named_vm(key: str, vms: Iterable[str]) -> str | None:
    """Return the VM named for a key, None when there is none."""
    return max(vms, key=lambda vm: (rank(key, vm), vm), default=None)
