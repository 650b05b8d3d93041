"""Invariants of all requests in a soak, checked on the records of callers and instances."""

from collections import Counter

from tests.soak.callers import KINDS, REFUSALS, is_complete


def find_violations(attempts, runs, interrupted):
    """Return a line for each violation.

    `runs` are the runs (id, method, path, body) at instances; `interrupted` reports whether a VM
    was killed, paused or resumed in an interval or within 1 s of it.
    """
    violations = []
    attempts_by_id = {a.id: a for a in attempts}
    run_counts = Counter(run[0] for run in runs)
    for attempt_id, method, path, body in runs:
        attempt = attempts_by_id.get(attempt_id)
        if attempt is None:
            violations.append(f"unexpected-run {attempt_id}: no caller sent this request")
        elif (method, path, body) != (KINDS[attempt.kind][0], attempt.path, attempt.body):
            violations.append(f"unexpected-run {attempt_id}: run with another method, path or body")
    for a in attempts:
        violations += _check_attempt(a, run_counts[a.id], interrupted)
    return violations


def _check_attempt(attempt, runs, interrupted):
    if attempt.kind != "read" and runs > 1:
        yield f"duplicate-run {attempt.id}: {attempt.kind} ran {runs} times"
    if attempt.kind != "read" and attempt.status in REFUSALS and runs:
        yield f"refused-but-ran {attempt.id}: {attempt.kind} ran; {attempt.status} by {attempt.vm}"
    if attempt.status == 200 and not is_complete(attempt):
        yield f"wrong-response {attempt.id}: 200 from {attempt.vm} with a wrong signature or body"
    if 300 <= attempt.status < 500 and attempt.status not in REFUSALS:
        yield f"unexpected-status {attempt.id}: {attempt.status} from {attempt.vm}"
    if attempt.status == 503 and float(attempt.headers.get("retry-after", "0")) <= 0:
        yield f"no-retry-after {attempt.id}: 503 from {attempt.vm} without a Retry-After above 0"
    if (
        attempt.status == 0
        and runs
        and attempt.read_by_vm
        and not interrupted(attempt.vm, attempt.began, attempt.ended)
    ):
        yield f"no-response {attempt.id}: {attempt.vm} forwarded the request, sent no response"
