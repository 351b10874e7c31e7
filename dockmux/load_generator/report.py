"""Summary of a run of the load generator."""

from collections import Counter
from datetime import timedelta
from typing import Any

from dockmux.load_generator.client import Attempt
from dockmux.runtime.time_units import ms


def quantiles(*, durations: list[timedelta]) -> dict[str, int]:
    """Returns p50, p90, p99 and max of the durations in ms; empty if there are none."""
    if not durations:
        return {}
    ordered = sorted(durations)

    def at(fraction: float) -> int:
        return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)] // ms(1)

    return {"p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "max": ordered[-1] // ms(1)}


def summarize(*, attempts: list[Attempt]) -> dict[str, Any]:
    """Counts outcomes by lane and kind, and lists latencies in ms from the scheduled time and every violation."""
    lanes: dict[str, Any] = {}
    for lane in sorted({row.lane for row in attempts}):
        rows = [row for row in attempts if row.lane == lane]
        answered = [row for row in rows if row.kind == "answered"]
        lanes[lane] = {
            "sent": len(rows),
            "outcomes": dict(sorted(Counter(row.kind for row in rows).items())),
            "firstMs": quantiles(durations=[row.first - row.intended for row in answered if row.first is not None]),
            "endMs": quantiles(durations=[row.ended - row.intended for row in answered if row.ended is not None]),
        }
    return {
        "sent": len(attempts),
        "outcomes": dict(sorted(Counter(row.kind for row in attempts).items())),
        "pieces": sum(row.count for row in attempts),
        "wrong": [f"{row.identity}: {text}" for row in attempts for text in row.violations],
        "lanes": lanes,
    }


def format_summary(*, summary: dict[str, Any]) -> list[str]:
    """Formats the result of `summarize` as lines of text, with the first 20 violations."""
    text_lines = [f"sent {summary['sent']}, pieces checked {summary['pieces']}, outcomes {summary['outcomes']}"]
    for lane, row in summary["lanes"].items():
        text_lines.append(f"  {lane}: {row['outcomes']}")
        text_lines.append(f"    to first piece, ms: {row['firstMs']}")
        text_lines.append(f"    to end, ms:         {row['endMs']}")
    text_lines.append(f"wrong: {len(summary['wrong'])}")
    text_lines += [f"  {text}" for text in summary["wrong"][:20]]
    return text_lines
