"""Headers that the platform's callers, instances and store use."""

from gypsumwind.core.instances import ReportedLoad
from gypsumwind.steering import HeaderNames

HEADERS = HeaderNames(
    request_id="gypsumwind-request-id",
    affinity="gypsumwind-affinity-key",
    deadline_ms="gypsumwind-deadline-ms",
    target="gypsumwind-target-instance",
    not_run="gypsumwind-not-executed",
    signature="gypsumwind-response-signature",
    load="gypsumwind-instance-load",
    leaving="server-leaving",
    rate_limit="server-limit",
)


STORE_ERA = "store-era"
"""In every answer of the store: how often it has been restored from a backup."""


def read_load(text: str) -> ReportedLoad | None:
    """Parse the load that an instance reports; None if it is malformed."""
    parts = text.split(",")
    if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return ReportedLoad(running, waiting, slots)
