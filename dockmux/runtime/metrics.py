"""The Prometheus metrics page, rendered by prometheus-client."""

import dataclasses
import resource
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Gauge, generate_latest
from prometheus_client.core import HistogramMetricFamily

from dockmux.runtime.http_transport import HttpExchange
from dockmux.runtime.log_output import process_log_output
from dockmux.runtime.memory_reserve import process_memory_reserve
from dockmux.runtime.receive_limits import process_held_bytes
from dockmux.runtime.running_time import process_running_time
from dockmux.runtime.task_delay import process_task_delay

# `ru_maxrss` is in KiB on Linux.
BYTES_PER_KIB = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class StageHistogram:
    """The histogram of one request stage, in seconds. Invariant: `counts` has one more item than `upper_bounds`, for
    the values above all of them; `total` is the sum of all values."""

    upper_bounds: list[float]
    counts: list[int]
    total: float


class _StageCollector:
    """Provides the stage histograms to the Prometheus registry."""

    def __init__(self, *, histograms: dict[str, StageHistogram]) -> None:
        self.histograms = histograms

    def collect(self) -> Iterator[HistogramMetricFamily]:
        family = HistogramMetricFamily("dockmux_stage_seconds", "stages of answered requests", labels=["stage"])
        for stage, histogram in sorted(self.histograms.items()):
            names = [*(str(bound) for bound in histogram.upper_bounds), "+Inf"]
            cumulative = [sum(histogram.counts[: index + 1]) for index in range(len(names))]
            family.add_metric([stage], list(zip(names, cumulative, strict=True)), histogram.total)
        yield family


def _process_values() -> dict[str, float]:
    """What tells apart a process out of memory, tasks that do not get the processor, a process that was suspended, and
    a log that loses lines."""
    return {
        "resident_peak_bytes": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KIB,
        "received_bytes_held": process_held_bytes.total,
        "longest_task_delay_seconds": process_task_delay.longest.total_seconds(),
        "paused_seconds": process_running_time.paused_until_now(),
        "memory_exhausted": process_memory_reserve.exhausted,
        "log_lines_dropped": process_log_output.dropped,
    }


def page(
    *,
    exchange: HttpExchange,
    values: dict[str, float],
    outcomes: dict[str, int],
    histograms: dict[str, StageHistogram] | None = None,
) -> list[bytes]:
    """Responds with the current values and those of the process as gauges, the number of requests by outcome kind, and
    the durations of their stages."""
    registry = CollectorRegistry()
    for name, value in {**values, **_process_values()}.items():
        Gauge(f"dockmux_{name}", name.replace("_", " "), registry=registry).set(value)
    if outcomes:
        ended = Gauge("dockmux_outcomes", "requests ended, by kind, since the start", ["kind"], registry=registry)
        for kind, count in sorted(outcomes.items()):
            ended.labels(kind).set(count)
    if histograms:
        registry.register(_StageCollector(histograms=histograms))
    data = generate_latest(registry)
    headers = [("Content-Type", "text/plain; version=0.0.4"), ("Content-Length", str(len(data)))]
    exchange.begin(status=200, headers=headers)
    return [data]
