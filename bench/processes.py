"""What a process has used, from /proc: processor seconds and resident memory."""

import os

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    """Return user and system seconds that a process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    """Return resident memory in MB (10^6 bytes)."""
    with open(f"/proc/{pid}/status") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024 / 1e6
