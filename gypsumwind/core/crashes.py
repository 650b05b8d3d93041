"""Finds requests that crash the instances that run them, from the crash reports of all VMs.

A crash loses the answers of all requests that the instance was running, and most of these are
innocent. A request is quarantined if instances crashed under it time after time, each send having
started after the crash before, without a response in between. A crash counts only against those of
its requests that have the longest such series.
"""

from collections.abc import Iterable
from dataclasses import dataclass

MIN_CRASHES = 3
"""Crashes in a row from which a request is quarantined."""

MIN_RESTART_S = 2.0
"""Reports on one incarnation of an instance that are less than this apart, in seconds, are of one
crash: a request that was sent on an open connection may learn of the crash later."""

ANNOUNCE_DELAY_S = 0.3
"""Time, in seconds, for which a report is held back: a retry that is answered meanwhile, as the one
of an innocent request mostly is, makes it void."""

CONFIRM_S = 1.0
"""Time, in seconds, for which a request must have been quarantined by reports before that is
announced: reports on the request that really caused the crashes may still be on their way."""

REPORT_RETENTION_S = 60.0
"""Time for which reports and responses are kept, in seconds."""

QUARANTINE_S = 600.0
"""Duration of a quarantine, in seconds; instances may have been fixed by then."""

MAX_REPORTS = 2000
"""Maximum number of reports, and of responses, kept. Those of the requests that were reported
longest ago are forgotten first: a request that goes on crashing instances is reported again."""

MAX_QUARANTINES = 1000
"""Maximum number of quarantines kept; the oldest are forgotten."""

MAX_ANNOUNCED = 50
"""Maximum number of own reports that a VM announces within `REPORT_RETENTION_S`, those of the
longest series first; it keeps the others for itself."""


@dataclass(slots=True, frozen=True)
class CrashReport:
    """An instance crashed while it had a request; times in epoch seconds."""

    fingerprint: str
    instance: str
    incarnation: int
    sent_at: float
    crashed_at: float

    @property
    def expires(self) -> float:
        """Return when the report is forgotten, in epoch seconds."""
        return self.crashed_at + REPORT_RETENTION_S


@dataclass(slots=True, frozen=True)
class Answered:
    """An instance responded to a request that had been reported; `sent_at` in epoch seconds."""

    fingerprint: str
    sent_at: float

    @property
    def expires(self) -> float:
        """Return when the response is forgotten, in epoch seconds."""
        return self.sent_at + REPORT_RETENTION_S


@dataclass(slots=True, frozen=True)
class Quarantine:
    """A request that instances must not get; `since` in epoch seconds."""

    fingerprint: str
    since: float

    @property
    def expires(self) -> float:
        """Return when the quarantine ends, in epoch seconds."""
        return self.since + QUARANTINE_S


Finding = CrashReport | Answered | Quarantine


class CrashHistory:
    """What this VM knows of crashes, its own observations and those that it heard of."""

    __slots__ = ("_reports", "_answered", "_quarantines", "_suspects", "_held_back", "_announced")

    def __init__(self) -> None:
        self._reports: dict[str, set[CrashReport]] = {}
        self._answered: dict[str, float] = {}
        self._quarantines: dict[str, Quarantine] = {}
        self._suspects: dict[str, float] = {}
        self._held_back: list[CrashReport] = []
        self._announced: list[CrashReport] = []

    @property
    def quarantined(self) -> frozenset[str]:
        """Return the fingerprints of the requests that no instance may get."""
        return frozenset(self._suspects.keys() | self._quarantines.keys())

    def quarantined_until(self, fingerprint: str) -> float | None:
        """Return when the quarantine of a request ends, in epoch seconds; None if it has none."""
        found = self._quarantines.get(fingerprint)
        if found is not None:
            return found.expires
        since = self._suspects.get(fingerprint)
        return None if since is None else since + QUARANTINE_S

    def evidence(self, fingerprint: str) -> dict[str, int | bool]:
        """Return the number of reports on a request, and whether its quarantine was announced."""
        reports = len(self._reports.get(fingerprint, ()))
        return {"reports": reports, "announced": fingerprint in self._quarantines}

    def record_crash(self, report: CrashReport, epoch: float) -> None:
        """Record a crash that this VM observed; it is announced a little later."""
        if self.apply((report,), epoch):
            self._held_back.append(report)

    def record_answer(self, fingerprint: str, sent_at: float, epoch: float) -> list[Finding]:
        """Record a response that this VM got; return what has to be announced."""
        if fingerprint not in self._reports and fingerprint not in self._quarantines:
            return []
        answered = Answered(fingerprint, sent_at)
        announced = any(report not in self._held_back for report in self._void_by(answered))
        lifts = self._lifts(answered)
        self.apply((answered,), epoch)
        return [answered] if announced or lifts else []

    def apply(self, findings: Iterable[Finding], epoch: float) -> bool:
        """Apply findings of this or other VMs; return whether one of them is news."""
        news = [finding for finding in findings if self._add(finding)]
        if news:
            self._forget_oldest()
            self._evaluate(epoch)
        return bool(news)

    def step(self, epoch: float) -> list[Finding]:
        """Forget what has expired; return what has to be announced now."""
        self._expire(epoch)
        due = [r for r in self._held_back if epoch >= r.crashed_at + ANNOUNCE_DELAY_S]
        self._held_back = [r for r in self._held_back if epoch < r.crashed_at + ANNOUNCE_DELAY_S]
        kept = [r for r in due if r in self._reports.get(r.fingerprint, ())]
        kept.sort(key=lambda report: len(self._reports[report.fingerprint]), reverse=True)
        confirmed = [
            Quarantine(name, since)
            for name, since in self._suspects.items()
            if name not in self._quarantines and epoch >= since + CONFIRM_S
        ]
        self.apply(confirmed, epoch)
        self._announced = [report for report in self._announced if report.expires > epoch]
        announced = kept[: MAX_ANNOUNCED - len(self._announced)]
        self._announced += announced
        return [*announced, *confirmed]

    def _add(self, finding: Finding) -> bool:
        name = finding.fingerprint
        match finding:
            case CrashReport():
                reports = self._reports.get(name, set())
                if finding.crashed_at <= self._answered.get(name, 0.0) or finding in reports:
                    return False
                self._reports.pop(name, None)
                self._reports[name] = reports | {finding}
            case Answered():
                if finding.sent_at <= self._answered.get(name, 0.0):
                    return False
                if self._lifts(finding):
                    del self._quarantines[name]
                self._answered[name] = finding.sent_at
                self._keep(name, self._reports.get(name, set()) - self._void_by(finding))
            case Quarantine():
                known = self._quarantines.get(name)
                void = finding.since <= self._answered.get(name, 0.0)
                if void or (known is not None and known.since >= finding.since):
                    return False
                self._quarantines[name] = finding
        return True

    def _forget_oldest(self) -> None:
        """Keep the numbers of reports, responses and quarantines within their bounds."""
        surplus = sum(map(len, self._reports.values())) - MAX_REPORTS
        while surplus > 0:
            surplus -= len(self._reports.pop(next(iter(self._reports))))
        for name in list(self._answered)[: max(0, len(self._answered) - MAX_REPORTS)]:
            del self._answered[name]
        for name in list(self._quarantines)[: max(0, len(self._quarantines) - MAX_QUARANTINES)]:
            del self._quarantines[name]

    def _void_by(self, answered: Answered) -> set[CrashReport]:
        reports = self._reports.get(answered.fingerprint, set())
        return {report for report in reports if report.crashed_at <= answered.sent_at}

    def _lifts(self, answered: Answered) -> bool:
        quarantine = self._quarantines.get(answered.fingerprint)
        return quarantine is not None and quarantine.since <= answered.sent_at

    def _keep(self, name: str, reports: set[CrashReport]) -> None:
        if reports:
            self._reports[name] = reports
        else:
            self._reports.pop(name, None)

    def _expire(self, epoch: float) -> None:
        before = len(self._reports)
        for name, reports in list(self._reports.items()):
            self._keep(name, {report for report in reports if report.expires > epoch})
        oldest = epoch - REPORT_RETENTION_S
        self._answered = {name: at for name, at in self._answered.items() if at > oldest}
        self._quarantines = {n: q for n, q in self._quarantines.items() if q.expires > epoch}
        if len(self._reports) != before:
            self._evaluate(epoch)

    def _evaluate(self, epoch: float) -> None:
        """Find the requests under which enough instances crashed, other requests' crashes apart."""
        candidates = {n: found for n, found in self._reports.items() if len(found) >= MIN_CRASHES}
        series = {name: _series(reports) for name, reports in candidates.items()}
        longest: dict[tuple[str, int], int] = {}
        for name, reports in candidates.items():
            for report in reports:
                crash = (report.instance, report.incarnation)
                longest[crash] = max(longest.get(crash, 0), series[name])
        self._suspects = {
            name: self._suspects.get(name, epoch)
            for name, reports in candidates.items()
            if _series(r for r in reports if series[name] >= longest[r.instance, r.incarnation])
            >= MIN_CRASHES
        }


def _series(reports: Iterable[CrashReport]) -> int:
    """Return the number of crashes in a row: each send started after the crash before."""
    count, last_crash = 0, float("-inf")
    crashed: dict[tuple[str, int], float] = {}
    for report in sorted(reports, key=lambda report: report.crashed_at):
        instance = (report.instance, report.incarnation)
        same = report.crashed_at - crashed.get(instance, float("-inf")) < MIN_RESTART_S
        if report.sent_at >= last_crash and not same:
            count, last_crash = count + 1, report.crashed_at
            crashed[instance] = report.crashed_at
    return count
