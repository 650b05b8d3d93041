"""A randomized soak of the direct way: real daemons, faults from outside, promises checked."""
