"""Counters and histograms per service, tenant and class, by OpenTelemetry."""

from collections.abc import Callable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

from gypsumwind.control_traffic import control_bytes
from gypsumwind.log import line_counts

OTHER_TENANT = "other"
LATENCY_BUCKETS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0,
)  # fmt: skip


class Metrics:
    """The instruments of one daemon; the number of tenant labels is bounded."""

    def __init__(
        self,
        max_tenants: int,
        store_era: Callable[[], int] = lambda: 0,
        feed_ages: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        view = View(
            instrument_name="gypsumwind_request_seconds",
            aggregation=ExplicitBucketHistogramAggregation(LATENCY_BUCKETS_S),
        )
        provider = MeterProvider(metric_readers=[PrometheusMetricReader()], views=[view])
        meter = provider.get_meter("gypsumwind")
        self._requests = meter.create_counter("gypsumwind_requests", description="requests ended")
        self._seconds = meter.create_histogram("gypsumwind_request_seconds", unit="s")
        self._events = meter.create_counter("gypsumwind_events", description="events by name")
        meter.create_observable_counter(
            "gypsumwind_control_bytes",
            callbacks=[lambda options: [Observation(control_bytes.total)]],
            description="bytes sent and received between daemons for control",
        )
        meter.create_observable_counter(
            "gypsumwind_log_lines_not_written",
            callbacks=[
                lambda options: [
                    Observation(line_counts.suppressed, {"reason": "suppressed"}),
                    Observation(line_counts.dropped, {"reason": "dropped"}),
                ]
            ],
            description="log lines that were not written",
        )
        meter.create_observable_gauge(
            "gypsumwind_store_era",
            callbacks=[lambda options: [Observation(store_era())]],
            description="era of the platform's store; it rises when the store is restored",
        )
        meter.create_observable_gauge(
            "gypsumwind_feed_age_seconds",
            callbacks=[
                lambda options: [
                    Observation(age_s, {"feed": name}) for name, age_s in feed_ages().items()
                ]
            ],
            description="time since the last answer to a feed of the platform's store",
        )
        self._max_tenants = max_tenants
        self._tenants: set[str] = set()

    def request(
        self, service: str, tenant: str, priority: str, verdict: str, code: str, seconds: float
    ) -> None:
        """Count a finished request of a caller and record its latency."""
        labels = {"service": service, "tenant": self._tenant_label(tenant), "class": priority}
        self._seconds.record(seconds, labels)
        self._requests.add(1, {**labels, "verdict": verdict, "code": code})

    def event(self, name: str, amount: int = 1) -> None:
        """Count an event, such as a retry or a takeover."""
        self._events.add(amount, {"event": name})

    def _tenant_label(self, tenant: str) -> str:
        if tenant in self._tenants:
            return tenant
        if len(self._tenants) >= self._max_tenants:
            return OTHER_TENANT
        self._tenants.add(tenant)
        return tenant


def prometheus_text() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)


def histogram_rows() -> list[dict[str, object]]:
    """Return the request histograms: labels, count, and p50/p99 upper bounds in seconds."""
    buckets: dict[tuple, list[tuple[float, float]]] = {}
    for family in REGISTRY.collect():
        if not family.name.startswith("gypsumwind_request_seconds"):
            continue
        for sample in family.samples:
            if not sample.name.endswith("_bucket"):
                continue
            key = tuple(sample.labels.get(n, "") for n in ("service", "tenant", "class"))
            buckets.setdefault(key, []).append((float(sample.labels["le"]), sample.value))
    return [_histogram_row(key, pairs) for key, pairs in sorted(buckets.items())]


def _histogram_row(key: tuple, pairs: list[tuple[float, float]]) -> dict[str, object]:
    pairs = sorted(pairs)
    count = pairs[-1][1]
    return {
        "service": key[0],
        "tenant": key[1],
        "class": key[2],
        "count": int(count),
        "p50_s": _quantile(pairs, 0.5 * count),
        "p99_s": _quantile(pairs, 0.99 * count),
    }


def _quantile(pairs: list[tuple[float, float]], rank: float) -> float | None:
    bound = next((le for le, cumulative in pairs if cumulative >= rank), None)
    return None if bound is None or bound == float("inf") else bound
