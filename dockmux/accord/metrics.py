"""Figures for a monitoring system, on an HTTP page through prometheus-client."""

from prometheus_client import CollectorRegistry, Gauge, generate_latest

from dockmux.accord.web import Visit


def page(*, visit: Visit, values: dict[str, float], outcomes: dict[str, int]) -> list[bytes]:
    """Answers with each value as it is now, and with how many requests ended in each kind of outcome."""
    registry = CollectorRegistry()
    for name, value in values.items():
        Gauge(f"dockmux_{name}", name.replace("_", " "), registry=registry).set(value)
    if outcomes:
        ended = Gauge("dockmux_outcomes", "requests ended, by kind, since the start", ["kind"], registry=registry)
        for kind, count in sorted(outcomes.items()):
            ended.labels(kind).set(count)
    data = generate_latest(registry)
    headers = [("Content-Type", "text/plain; version=0.0.4"), ("Content-Length", str(len(data)))]
    visit.begin(status=200, headers=headers)
    return [data]
