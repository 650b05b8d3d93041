"""Runs the daemon without one mechanism, which the environment variable ABLATE names.

`python -m tests.ablations` checks that the tests of a mechanism fail without it.
"""

import os

from gypsumwind import __main__ as daemon
from gypsumwind.core.admission import Admission, SlotState
from gypsumwind.core.fence import Fence
from gypsumwind.core.idempotency import BeginResult, KeyTable
from gypsumwind.core.limits import Limits
from gypsumwind.core.records import Records
from gypsumwind.daemon import Daemon
from gypsumwind.handoffs import Handoffs
from gypsumwind.homes import _Recorder
from gypsumwind.permits import GateActor


def no_fence():
    """Fencing: pauses of the process are not detected."""
    Fence.valid = lambda self, now: True
    Fence.renew = lambda self, now: True


def no_owner():
    """Ownership: every VM sends to every instance of its zone."""
    original_set_owned = Admission.set_owned
    Admission.set_owned = lambda self, names: original_set_owned(self, self.states)
    original_tick = GateActor._tick

    def tick_and_own(self, message, now):
        original_tick(self, message, now)
        self._own()

    GateActor._tick = tick_and_own


def no_lent_limit():
    """Limit: the slots lent to other regions are not limited."""
    original_free = SlotState.free

    def free(self, priority, foreign, now):
        return original_free(self, priority, False, now)

    SlotState.free = free


def no_predecessor():
    """Takeover: requests that the previous owner left in flight are not counted."""
    SlotState.take_over = lambda self, running, report_by: None


def no_inflight_in_handover():
    """Hand-over: the new owner does not count the requests in flight."""
    Admission.charge = lambda self, name, usages: None


def no_key_memory():
    """Idempotency: a key runs each time it arrives."""
    KeyTable.begin = lambda self, key, fingerprint, expires, now: (BeginResult.RUN, None)


def void_always():
    """Voiding: an attempt whose response was lost counts as not admitted."""
    Handoffs._void = lambda self, to, call: True


def no_attempt_check():
    """Admission: attempts are admitted after their deadline, and after they were voided."""
    GateActor._admit_attempt = lambda self, message, now: True


def no_cut_check():
    """Replay: the copied part of a truncated response counts as a whole one."""
    _Recorder.body = lambda self: bytes(self._copy or b"")


def newest_wins_not():
    """Versions: a record is replaced by the last one that arrives."""

    def put(self, record):
        known = self._records.get(record.key)
        if record.scope not in self._scopes or known == record:
            return False
        self._records[record.key] = record
        return True

    Records.put = put


def no_leaving():
    """Graceful shutdown: the servers close at once."""
    Daemon.stop = lambda self: None


def no_reserve():
    """Reserve: requests of low priority may use every slot."""
    original_init = Limits.__init__

    def init_without_reserve(self, slots, lent, reserve):
        original_init(self, slots, lent, 0)

    Limits.__init__ = init_without_reserve


ABLATIONS = {
    name: value
    for name, value in list(globals().items())
    if callable(value) and getattr(value, "__module__", "") == __name__
}

if __name__ == "__main__":
    ABLATIONS[os.environ["ABLATE"]]()
    daemon.main()
