"""What a run of the load generator amounts to."""

from collections import Counter
from datetime import timedelta
from typing import Any

from dockmux.load_generator.client import Attempt
from dockmux.runtime.time_units import ms


def quantiles(*, spans: list[timedelta]) -> dict[str, int]:
    if not spans:
        return {}
    ordered = sorted(spans)

    def at(part: float) -> int:
        return ordered[min(int(part * len(ordered)), len(ordered) - 1)] // ms(1)

    return {"p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "max": ordered[-1] // ms(1)}


def summarize(*, seen: list[Attempt]) -> dict[str, Any]:
    """Outcome counts by lane and kind, latencies from the intended time in ms, and every breach seen."""
    lanes: dict[str, Any] = {}
    for lane in sorted({row.lane for row in seen}):
        rows = [row for row in seen if row.lane == lane]
        good = [row for row in rows if row.kind == "answered"]
        lanes[lane] = {
            "sent": len(rows),
            "outcomes": dict(sorted(Counter(row.kind for row in rows).items())),
            "firstMs": quantiles(spans=[row.first - row.intended for row in good if row.first is not None]),
            "endMs": quantiles(spans=[row.ended - row.intended for row in good if row.ended is not None]),
        }
    return {
        "sent": len(seen),
        "outcomes": dict(sorted(Counter(row.kind for row in seen).items())),
        "pieces": sum(row.count for row in seen),
        "wrong": [f"{row.identity}: {text}" for row in seen for text in row.wrong],
        "lanes": lanes,
    }


def lines(*, summary: dict[str, Any]) -> list[str]:
    told = [f"sent {summary['sent']}, pieces checked {summary['pieces']}, outcomes {summary['outcomes']}"]
    for lane, row in summary["lanes"].items():
        told.append(f"  {lane}: {row['outcomes']}")
        told.append(f"    to first piece, ms: {row['firstMs']}")
        told.append(f"    to end, ms:         {row['endMs']}")
    told.append(f"wrong: {len(summary['wrong'])}")
    told += [f"  {text}" for text in summary["wrong"][:20]]
    return told
