"""Rendezvous hashing: selects one VM of a set for a key.

Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash


def rank(key: str, vm: str) -> int:
    """Return the rank of a VM for a key; the VM with the highest rank is selected."""
    return xxhash.xxh64_intdigest(f"{key}\x00{vm}".encode())


def top_ranked_vm(key: str, vms: Iterable[str]) -> str | None:
    """Return the VM with the highest rank for a key, None if there are no VMs."""
    return max(vms, key=lambda vm: (rank(key, vm), vm), default=None)
