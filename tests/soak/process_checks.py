"""Checks of the processes themselves: ends, readiness, errors in logs, growth and starts."""

from collections import defaultdict
from collections.abc import Iterator

from tests.soak.violations import HistoryIndex, Violation

# A process under load grows while it fills its tables, but must not go on growing: the bounds apply to the second half
# of its samples.
MAX_MEMORY_GROWTH_KB_PER_S = 512
MAX_DESCRIPTOR_GROWTH_PER_S = 5.0
MIN_SAMPLES = 20
# How often the platform polls an edge's readiness (machines.py).
READINESS_INTERVAL_S = 1.0


def check_processes(index: HistoryIndex) -> Iterator[Violation]:
    """PROCESS, READY, LOG, GROWTH: no process exits unexpectedly, stays unready, logs an error or keeps growing.

    These are not rules of the platform.
    """
    for instance in index.history.process_instances:
        if instance.exited_unexpectedly:
            yield Violation(
                rule="PROCESS", detail=f"{instance.process} exited unexpectedly with code {instance.exit_code}"
            )
    for name in index.history.not_ready_at_end:
        yield Violation(rule="READY", detail=f"{name} is not ready though all faults are over")
    for line in index.history.log_errors:
        yield Violation(rule="LOG", detail=line)
    samples_by_process = defaultdict(list)
    for sample in index.history.samples:
        samples_by_process[sample.process].append(sample)
    for process, samples in samples_by_process.items():
        second_half = samples[len(samples) // 2 :]
        if len(samples) < MIN_SAMPLES:
            continue
        times = [sample.at for sample in second_half]
        memory_growth = slope(times=times, values=[float(sample.rss_kb) for sample in second_half])
        if memory_growth > MAX_MEMORY_GROWTH_KB_PER_S:
            yield Violation(rule="GROWTH", detail=f"{process}: memory grows by {memory_growth:.0f} KB a second")
        descriptor_growth = slope(times=times, values=[float(sample.descriptors) for sample in second_half])
        if descriptor_growth > MAX_DESCRIPTOR_GROWTH_PER_S:
            yield Violation(rule="GROWTH", detail=f"{process}: descriptors grow by {descriptor_growth:.1f} a second")


def check_start_times(index: HistoryIndex) -> Iterator[Violation]:
    """START: a process is ready within `live_s` of its start, while cores and list have no fault.

    READINESS_INTERVAL_S is added because readiness is polled each second.
    """
    live_s = index.history.bounds.live_s
    fault_spans = [
        (fault.at, fault.until) for fault in index.history.faults if fault.target.startswith(("core", "list"))
    ]
    fault_spans += [
        (instance.started_at, instance.started_at)
        for instance in index.history.process_instances
        if instance.process.startswith("core")
    ]
    for instance in index.history.process_instances:
        undisturbed = not any(
            at < instance.started_at + live_s and until + live_s > instance.started_at for at, until in fault_spans
        )
        if (
            undisturbed
            and instance.ready_at
            and instance.ready_at - instance.started_at > live_s + READINESS_INTERVAL_S
        ):
            yield Violation(
                rule="START",
                detail=f"{instance.process} was ready {instance.ready_at - instance.started_at:.1f} s after its start",
            )


def slope(*, times: list[float], values: list[float]) -> float:
    """The least-squares slope of values over times."""
    mean_time, mean_value = sum(times) / len(times), sum(values) / len(values)
    spread = sum((at - mean_time) ** 2 for at in times)
    if not spread:
        return 0.0
    return sum((at - mean_time) * (value - mean_value) for at, value in zip(times, values, strict=True)) / spread
