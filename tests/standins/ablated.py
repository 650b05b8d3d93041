"""Runs the daemon with one mechanism switched off, named by the variable ABLATE.

The proofs have to fail without their mechanism: `python -m tests.ablations` shows it.
"""

import os

from gypsumwind import __main__ as daemon
from gypsumwind.core.admission import Admission, SlotState
from gypsumwind.core.fence import Fence
from gypsumwind.core.idempotency import Begin, KeyTable
from gypsumwind.core.limits import Limits
from gypsumwind.core.records import Records
from gypsumwind.daemon import Daemon
from gypsumwind.handoffs import Handoffs
from gypsumwind.homes import _Recorder
from gypsumwind.permits import GateActor


def no_fence():
    """A pause is not noticed."""
    Fence.valid = lambda self, now: True
    Fence.renew = lambda self, now: True


def no_owner():
    """Every VM sends to every instance of its zone."""
    owned = Admission.set_owned
    Admission.set_owned = lambda self, names: owned(self, self.states)
    tick = GateActor._tick

    def tick_and_own(self, message, now):
        tick(self, message, now)
        self._own()

    GateActor._tick = tick_and_own


def no_lent_limit():
    """The share lent to other regions is not looked at."""
    at = SlotState.free

    def free(self, priority, foreign, now):
        return at(self, priority, False, now)

    SlotState.free = free


def no_predecessor():
    """What a silent owner left in flight is not counted."""
    SlotState.take_over = lambda self, running, report_by: None


def no_inflight_in_handover():
    """What is in flight at a hand-over is not counted by the new owner."""
    Admission.charge = lambda self, name, usages: None


def no_key_memory():
    """A key is run whenever it arrives."""
    KeyTable.begin = lambda self, key, fingerprint, expires, now: (Begin.RUN, None)


def void_always():
    """A lost attempt is taken for one that was not admitted."""
    Handoffs._void = lambda self, to, call: True


def no_attempt_check():
    """Attempts are admitted also late and after they were voided."""
    GateActor._admit_attempt = lambda self, message, now: True


def no_cut_check():
    """What was copied of a cut answer counts as a whole one."""
    _Recorder.body = lambda self: bytes(self._copy or b"")


def newest_wins_not():
    """A record is replaced by whatever arrives last."""

    def put(self, record):
        known = self._records.get(record.key)
        if record.scope not in self._scopes or known == record:
            return False
        self._records[record.key] = record
        return True

    Records.put = put


def no_leaving():
    """A stop closes the servers at once."""
    Daemon.stop = lambda self: None


def no_reserve():
    """Low classes may take every slot."""
    init = Limits.__init__

    def without(self, slots, lent, reserve):
        init(self, slots, lent, 0)

    Limits.__init__ = without


ABLATIONS = {
    name: value
    for name, value in list(globals().items())
    if callable(value) and getattr(value, "__module__", "") == __name__
}

if __name__ == "__main__":
    ABLATIONS[os.environ["ABLATE"]]()
    daemon.main()
