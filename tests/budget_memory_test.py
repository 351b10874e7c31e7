"""Memory use of the budget."""

from datetime import timedelta

from dockmux.platform_proxy.budget import Budget
from dockmux.platform_proxy.deployment import Deployment
from dockmux.runtime.time_units import ms


def test_the_budget_forgets_old_requests():
    """Guards against memory use that grows with the daemon's uptime."""
    budget = Budget(deployment=Deployment(retry_ratio=0.2, retry_extra=50), started_at=timedelta())
    for number in range(20_000):
        budget.note_request(service="desk", now=ms(10 * number))
    assert len(budget.requests["desk"]) <= 1100
