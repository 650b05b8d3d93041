"""Names of the platform appear only in its adapter, `gypsumwind/platform/`."""

import re
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[2] / "gypsumwind"
WORDS = (
    "coldRemainingS",
    "coldPerS",
    "trafficSplit",
    "pathPrefix",
    "routingRules",
    "allowedRegions",
    "targetLatencyS",
    "waitMs",
    "hasMore",
    "evacuations",
    "gypsumwind-affinity-key",
    "gypsumwind-target-instance",
    "gypsumwind-not-executed",
    "/resolve",
)


def test_names_of_the_platform_appear_in_its_package_only():
    outside = [p for p in PACKAGE.rglob("*.py") if p.parent.name != "platform"]
    found = [
        (path.name, word)
        for path in outside
        for word in WORDS
        if re.search(re.escape(word), path.read_text(), re.IGNORECASE)
    ]
    assert outside and not found


def test_package_stays_small():
    lines = sum(len(p.read_text().splitlines()) for p in (PACKAGE / "platform").glob("*.py"))
    assert lines <= 700
