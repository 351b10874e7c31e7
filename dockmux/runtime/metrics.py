"""Figures for a monitoring system, on an HTTP page through prometheus-client."""

import dataclasses
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Gauge, generate_latest
from prometheus_client.core import HistogramMetricFamily

from dockmux.runtime.http_transport import HttpExchange


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spread:
    """One stage's histogram. Invariant: `counts` has one more than `ends`, for what lies above them all."""

    ends: list[float]
    counts: list[int]
    total: float


class _Stages:
    """The stages' histograms, as the library collects them."""

    def __init__(self, *, spreads: dict[str, Spread]) -> None:
        self.spreads = spreads

    def collect(self) -> Iterator[HistogramMetricFamily]:
        family = HistogramMetricFamily("dockmux_stage_seconds", "stages of answered requests", labels=["stage"])
        for stage, spread in sorted(self.spreads.items()):
            names = [*(str(end) for end in spread.ends), "+Inf"]
            sums = [sum(spread.counts[: place + 1]) for place in range(len(names))]
            family.add_metric([stage], list(zip(names, sums, strict=True)), spread.total)
        yield family


def page(
    *,
    exchange: HttpExchange,
    values: dict[str, float],
    outcomes: dict[str, int],
    spreads: dict[str, Spread] | None = None,
) -> list[bytes]:
    """Answers with each value as it is now, with how many requests ended in each kind of outcome, and with how long
    their stages took."""
    registry = CollectorRegistry()
    for name, value in values.items():
        Gauge(f"dockmux_{name}", name.replace("_", " "), registry=registry).set(value)
    if outcomes:
        ended = Gauge("dockmux_outcomes", "requests ended, by kind, since the start", ["kind"], registry=registry)
        for kind, count in sorted(outcomes.items()):
            ended.labels(kind).set(count)
    if spreads:
        registry.register(_Stages(spreads=spreads))
    data = generate_latest(registry)
    headers = [("Content-Type", "text/plain; version=0.0.4"), ("Content-Length", str(len(data)))]
    exchange.begin(status=200, headers=headers)
    return [data]
