"""Gossiped records survive a round trip; malformed ones raise ValueError or TableError only."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.core.crashes import QUARANTINE_S, Answered, CrashReport, Quarantine
from gypsumwind.core.departures import DISSEMINATION_S, Departure
from gypsumwind.core.records import CONFIG_SCOPE, Record
from gypsumwind.errors import TableError
from gypsumwind.payloads import (
    DECODERS_BY_KEY,
    DECODERS_BY_PREFIX,
    decode,
    departure_record,
    health_record,
)
from gypsumwind.utils import pack_json, wall

KEYS = [*DECODERS_BY_KEY, *(prefix + "x" for prefix in DECODERS_BY_PREFIX)]
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=9), inner),
    max_leaves=8,
)


def test_departure_survives_a_round_trip():
    departure = Departure("i-1", 7, wall())
    record = departure_record(departure, "a1")
    assert record.version == 7 and decode(record) == departure


def test_expired_departure_is_rejected():
    with pytest.raises(ValueError, match="expired"):
        decode(departure_record(Departure("i-1", 7, wall() - DISSEMINATION_S - 1), "a1"))


@pytest.mark.parametrize("key", KEYS)
@given(payload=st.binary(max_size=60) | JSON.map(pack_json))
def test_malformed_record_raises_an_error_that_callers_expect(key, payload):
    try:
        decode(Record(key, 1, CONFIG_SCOPE, payload))
    except (ValueError, TableError):
        return


@pytest.mark.parametrize("finding_type", [CrashReport, Answered, Quarantine])
def test_finding_survives_a_round_trip_until_it_expires(finding_type):
    def found_at(at):
        if finding_type is CrashReport:
            return CrashReport("f", "i-1", 7, at - 0.5, at)
        return finding_type("f", at)

    recent = found_at(wall())
    assert decode(health_record(recent)) == recent
    with pytest.raises(ValueError, match="expired"):
        decode(health_record(found_at(wall() - QUARANTINE_S - 1)))
