"""What must hold of every request of a soak, told from what callers and instances saw."""

from collections import Counter

from tests.soak.callers import KINDS, REFUSALS, is_whole


def broken(sent, ran, interrupted):
    """Return a line for each broken promise.

    `ran` are the runs (id, method, path, body) at instances; `interrupted` tells whether a VM was
    killed or frozen in a time.
    """
    found = []
    known = {s.id: s for s in sent}
    counts = Counter(run[0] for run in ran)
    for name, method, path, body in ran:
        origin = known.get(name)
        if origin is None:
            found.append(f"foreign-run {name}: run, and sent by no caller")
        elif (method, path, body) != (KINDS[origin.kind][0], origin.path, origin.body):
            found.append(f"foreign-run {name}: run with another method, path or body")
    for s in sent:
        found += _of_one(s, counts[s.id], interrupted)
    return found


def _of_one(s, runs, interrupted):
    if s.kind != "read" and runs > 1:
        yield f"ran-twice {s.id}: {s.kind} ran {runs} times"
    if s.kind != "read" and s.status in REFUSALS and runs:
        yield f"refused-but-ran {s.id}: {s.kind} got {s.status} from {s.vm} and ran"
    if s.status == 200 and not is_whole(s):
        yield f"not-the-answer {s.id}: a success from {s.vm} that is not the instance's answer"
    if 300 <= s.status < 500 and s.status not in REFUSALS:
        yield f"denied {s.id}: {s.status} from {s.vm}"
    if s.status == 503 and float(s.headers.get("retry-after", "0")) <= 0:
        yield f"no-retry-after {s.id}: 503 from {s.vm}"
    if s.status == 0 and runs and s.read_by_vm and not interrupted(s.vm, s.began, s.ended):
        yield f"cut-off {s.id}: {s.vm} passed it on and gave no answer"
