"""Client blocks as packed sorted arrays: bytes per block, and time per look-up.

A block is the first address of a range (4 bytes) and the site it is steered to (2 bytes).
"""

import random
import time
from array import array
from bisect import bisect_right

BLOCKS = 2_900_000
SITES = 2000
LOOKUPS = 300_000


def main():
    """Build a random set of blocks and time look-ups in it."""
    rng = random.Random(1)
    starts = array("I", sorted(rng.sample(range(2**32), BLOCKS)))
    sites = array("H", (rng.randrange(SITES) for _ in range(BLOCKS)))
    size = starts.itemsize * len(starts) + sites.itemsize * len(sites)
    addresses = [rng.randrange(2**32) for _ in range(LOOKUPS)]
    begin = time.perf_counter()
    total = 0
    for address in addresses:
        total += sites[max(0, bisect_right(starts, address) - 1)]
    passed = time.perf_counter() - begin
    print(f"{size / BLOCKS:.1f} bytes per block, {size / 1e6:.1f} MB in total")
    print(f"{passed / LOOKUPS * 1e6:.2f} us per look-up (checksum {total})")


if __name__ == "__main__":
    main()
