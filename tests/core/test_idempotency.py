import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gypsumwind.core.idempotency import BeginResult, KeyPrefix, KeyTable, parse_prefix


def test_prefix_round_trips_through_its_text():
    prefix = KeyPrefix("accra-a-1", 17, 99)
    assert parse_prefix(prefix.text() + "my.own.part") == prefix


@pytest.mark.parametrize("key", ["", "abc", "a.b.c.d", ".1.2.x", "vm.1.2"])
def test_key_without_a_valid_prefix_is_not_parsed(key):
    assert parse_prefix(key) is None


def test_key_reused_for_another_request_is_rejected():
    keys = KeyTable(10)
    assert keys.begin("k", "POST /a", 9.0, 0.0)[0] is BeginResult.RUN
    assert keys.begin("k", "POST /b", 9.0, 0.0)[0] is BeginResult.REUSED


def test_full_table_rejects_new_keys_and_keeps_existing_ones():
    keys = KeyTable(1)
    keys.begin("old", "f", 9.0, 0.0)
    assert keys.begin("new", "f", 9.0, 1.0)[0] is BeginResult.FULL
    assert keys.begin("old", "f", 9.0, 1.0)[0] is BeginResult.RUNNING
    assert keys.begin("new", "f", 20.0, 10.0)[0] is BeginResult.RUN


class KeyMachine(RuleBasedStateMachine):
    """Duplicate keyed requests arrive at their home; some fail before they run."""

    @initialize()
    def start(self):
        self.keys = KeyTable(2)
        self.now = 0.0
        self.running = set()
        self.ran = {}
        self.expires = {"a": 5.0, "b": 9.0, "c": 9.0}

    @rule(key=st.sampled_from(["a", "b", "c"]))
    def arrives(self, key):
        begin, outcome = self.keys.begin(key, "f", self.expires[key], self.now)
        if begin is BeginResult.RUN:
            assert key not in self.running
            self.running.add(key)
        if begin is BeginResult.DONE:
            assert outcome == f"answer {key}" and self.ran[key] == 1

    @rule(key=st.sampled_from(["a", "b", "c"]), not_run=st.booleans())
    def ends(self, key, not_run):
        if key not in self.running:
            return
        self.running.discard(key)
        if not_run:
            self.keys.forget(key)
            return
        self.ran[key] = self.ran.get(key, 0) + 1
        self.keys.finish(key, f"answer {key}")

    @rule(step=st.floats(0.1, 4.0))
    def time_passes(self, step):
        self.now += step
        self.keys.expire(self.now)

    @invariant()
    def no_key_runs_twice_and_the_table_is_bounded(self):
        assert all(count == 1 for count in getattr(self, "ran", {}).values())
        assert len(getattr(self, "keys", ())) <= 2


TestKeyMachine = KeyMachine.TestCase
