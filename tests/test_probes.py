"""Probes of owned instances."""

from types import SimpleNamespace

import pytest

from gypsumwind.hangups import HangupTask
from gypsumwind.probes import HealthTask
from tests.test_exchanges import BODIES_WITHOUT_END, UNBOUNDED, server, wait_for


@pytest.mark.parametrize("kind", {**UNBOUNDED, **BODIES_WITHOUT_END})
def test_probe_whose_response_never_ends_is_over(kind):
    """Guards against one instance that ends the probes of all others."""
    begin, more = {**UNBOUNDED, **BODIES_WITHOUT_END}[kind]
    told = []
    gate = SimpleNamespace(tell=told.append)
    cfg = SimpleNamespace(ip="127.0.0.1", health_s=1.0, health_path="/health", load_path="")
    with server(begin, more, 0.02) as ((ip, port), closed), HangupTask() as deadlines:
        inst = SimpleNamespace(name="i-1", address=f"{ip}:{port}")
        snapshots = SimpleNamespace(
            holds=SimpleNamespace(held={"i-1": 1}),
            routes={"s": SimpleNamespace(instances=[inst])},
        )
        HealthTask(cfg, snapshots, gate, deadlines).step()
        assert [seen.instance for seen in told] == ["i-1"] and told[0].unhealthy is None
        wait_for(lambda: closed)
