"""How each figure grows with what was stepped: by run, and over the runs."""

import dataclasses
import math
import statistics
from typing import Any

ROLE_FIGURES = ("out_per_s", "in_per_s", "out_bytes_per_s", "in_bytes_per_s", "busy_percent")
FLEET_FIGURES = (
    "acknowledged_ms", "in_force_ms", "told_part", "join_list_calls", "cores_in_sight", "operator_bytes",
    "configuration_bytes",
)  # fmt: skip


@dataclasses.dataclass(frozen=True, kw_only=True)
class Slope:
    """One figure of one role against one stepped size. Invariants: `at` holds the median of the runs at each size;
    `slopes` are least, median and greatest of the runs' least-squares lines, a unit of the size; `power` is the
    exponent between the two greatest sizes: 0 does not grow, 1 is linear, 2 quadratic."""

    stepped: str
    role: str
    figure: str
    at: dict[int, float]
    slopes: tuple[float, float, float]
    power: float | None


def line(*, points: list[tuple[float, float]]) -> float:
    """The slope of the least-squares line."""
    mean_x = statistics.mean(x for x, _ in points)
    mean_y = statistics.mean(y for _, y in points)
    below = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / below if below else 0.0


def power(*, at: dict[int, float]) -> float | None:
    sizes = sorted(size for size in at if size > 0)
    if len(sizes) < 2:
        return None
    low, high = sizes[-2:]
    if at[low] <= 0 or at[high] <= 0:
        return None
    return math.log(at[high] / at[low]) / math.log(high / low)


def figures_of(*, run: dict[str, Any]) -> dict[tuple[str, str], float]:
    """Every figure of a run, by role and name."""
    found = {}
    for role, told in run["roles"].items():
        for figure in ROLE_FIGURES:
            found[(role, figure)] = told[figure]
        for part, count in told["state_bytes"].items():
            found[(role, f"state of {part}, bytes")] = count
        found[(role, "state_bytes")] = sum(told["state_bytes"].values())
    for role, told in run["change"].items():
        span_s = run["in_force_ms"] / 1000
        found[(role, "busy ms for a change")] = told["busy_percent"] / 100 * span_s * 1000
        found[(role, "bytes out for a change")] = told["out_bytes_per_s"] * span_s
    for figure in FLEET_FIGURES:
        found[("fleet", figure)] = run[figure]
    return found


def slopes(*, stepped: str, runs: list[dict[str, Any]]) -> list[Slope]:
    by_seed: dict[int, list[tuple[int, dict[tuple[str, str], float]]]] = {}
    for run in runs:
        by_seed.setdefault(run["seed"], []).append((run["size"][stepped], figures_of(run=run)))
    names = list(dict.fromkeys(name for rows in by_seed.values() for _, row in rows for name in row))
    made = []
    for role, figure in names:
        values: dict[int, list[float]] = {}
        lines = []
        for rows in by_seed.values():
            points = [(size, row[(role, figure)]) for size, row in rows if (role, figure) in row]
            for size, value in points:
                values.setdefault(size, []).append(value)
            if len({size for size, _ in points}) > 1:
                lines.append(line(points=points))
        at = {size: statistics.median(found) for size, found in sorted(values.items())}
        lines = lines or [0.0]
        made.append(
            Slope(
                stepped=stepped,
                role=role,
                figure=figure,
                at=at,
                slopes=(min(lines), statistics.median(lines), max(lines)),
                power=power(at=at),
            )  # fmt: skip
        )
    return made


def short(*, value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def table(*, found: list[Slope]) -> str:
    """The slopes of one stepped size as a Markdown table."""
    sizes = sorted({size for slope in found for size in slope.at})
    head = ["role", "figure", *(f"at {size}" for size in sizes), "slope: min, median, max", "power"]
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    for slope in found:
        row = [slope.role, slope.figure]
        row += [short(value=slope.at[size]) if size in slope.at else "" for size in sizes]
        row.append(", ".join(short(value=value) for value in slope.slopes))
        row.append("" if slope.power is None else f"{slope.power:.2f}")
        lines.append("| " + " | ".join(row) + " |")
    return "\n".join(lines)


def listing(*, rows: list[dict[str, Any]]) -> str:
    """The figures of one event, least, median and greatest of the runs."""
    lines = ["| figure | min, median, max |", "| --- | --- |"]
    for figure in rows[0] if rows else ():
        if figure in ("event", "size", "seed", "crashes"):
            continue
        values = [row[figure] for row in rows]
        told = ", ".join(short(value=value) for value in (min(values), statistics.median(values), max(values)))
        lines.append(f"| {figure} | {told} |")
    return "\n".join(lines)
