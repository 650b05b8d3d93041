"""Resource usage of a process from /proc: CPU seconds and resident memory."""

import os

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    """Return the user and system CPU seconds of a process."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    """Return the resident memory of a process in MB (10^6 bytes)."""
    with open(f"/proc/{pid}/status") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024 / 1e6
