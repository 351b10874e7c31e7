"""The fleet-wide budget for extra sends: the Budget class, and a whole fleet as observed at the engines."""

import random
from datetime import UTC, datetime, timedelta

import pytest

from dockmux.platform_proxy.budget import LOCAL_SHARE, Budget
from dockmux.platform_proxy.deployment import Deployment
from dockmux.runtime.time_units import ZERO, ms
from tests.standins.fleet import RETRY_RATIO, SECOND, Fleet, fleet

WINDOW = timedelta(seconds=10)
BOUND = ms(20)
# Small, so that a short overload shows whether the budget is kept.
EXTRA = 15
START_TIME = datetime(2026, 3, 1, 6, 0, 3, tzinfo=UTC)


def _budget(*, extra: int = 60, ratio: float = 0.0) -> Budget:
    return Budget(
        deployment=Deployment(retry_ratio=ratio, retry_window=WINDOW, retry_extra=extra), started_at=-timedelta(hours=1)
    )


def _take_all(
    *, budget: Budget, daemons: int, at: timedelta = ZERO, synchronized: bool = True, bound: timedelta = BOUND
) -> int:
    """Takes extra sends until none is left at this time; returns their number."""
    time = START_TIME + at if synchronized else None
    count = 0
    while count < 1000 and budget.take(service="s", daemons=daemons, now=at, time=time, bound=bound):
        count += 1
    return count


def test_without_the_shared_clock_only_the_local_share_is_used():
    assert _take_all(budget=_budget(), daemons=3, synchronized=False) == int(60 * LOCAL_SHARE / 3)
    assert _take_all(budget=_budget(), daemons=3, bound=ms(501)) == int(60 * LOCAL_SHARE / 3)
    assert _take_all(budget=_budget(), daemons=3) > int(60 * LOCAL_SHARE / 3)
    assert _take_all(budget=_budget(extra=0), daemons=3) == 0


def test_one_window_of_ten_seconds_holds_no_more_than_the_allowance():
    budget = _budget()
    count = sum(_take_all(budget=budget, daemons=1, at=ms(100) * step) for step in range(95))
    assert 30 <= count <= 60


def test_after_a_pause_the_allowance_is_available_again_and_no_more():
    budget = _budget()
    for step in range(95):
        _take_all(budget=budget, daemons=1, at=ms(100) * step)
    count = sum(_take_all(budget=budget, daemons=1, at=timedelta(seconds=60) + ms(100) * step) for step in range(95))
    assert 30 <= count <= 60, count


def test_expired_draws_do_not_raise_the_local_limit():
    """Checks each span of ten seconds under continuous demand."""
    budget = _budget()
    taken = [
        ms(100) * step for step in range(400) for _ in range(_take_all(budget=budget, daemons=1, at=ms(100) * step))
    ]
    assert _violations(extras=taken, request_times=[], extra=60)[:1] == []


def test_each_service_has_its_own_allowance():
    budget = _budget()
    _take_all(budget=budget, daemons=1)
    assert budget.take(service="other", daemons=1, now=ZERO, time=None, bound=ZERO)


def test_draws_of_peers_reduce_what_is_left():
    slice_index = _budget().slice_index(time=START_TIME)
    draws = {"s": {str(slice_index): 30}}
    budget = _budget()
    budget.update_peer(daemon="b", draws=draws)
    assert _take_all(budget=budget, daemons=3) == int(60 * LOCAL_SHARE / 3)
    # Draws in a slice that no span of ten seconds ending now can touch do not count any more.
    budget = _budget()
    budget.update_peer(daemon="b", draws={"s": {str(slice_index - 30): 30}})
    assert _take_all(budget=budget, daemons=3) == _take_all(budget=_budget(), daemons=3)
    budget = _budget()
    budget.update_peer(daemon="b", draws={"other": {str(slice_index): 30}})
    assert _take_all(budget=budget, daemons=3) == _take_all(budget=_budget(), daemons=3)


def test_a_summary_gives_peers_the_same_draws():
    one, two = _budget(), _budget()
    _take_all(budget=one, daemons=2)
    two.update_peer(daemon="one", draws=one.summary())
    assert two.peer_draws["one"]["s"] == one.pool_draws["s"] and sum(one.pool_draws["s"].values()) > 0


def test_the_ratio_applies_to_local_requests_only():
    budget = _budget(extra=0, ratio=0.2)
    for step in range(100):
        budget.note_request(service="s", now=ms(10) * step)
    count = _take_all(budget=budget, daemons=3, at=SECOND, synchronized=False)
    assert 10 <= count <= 20
    assert _take_all(budget=budget, daemons=3, at=SECOND * 30, synchronized=False) == 0


def test_daemons_without_contact_stay_within_the_allowance_together():
    """Just after a network partition, when every daemon draws as much as it can."""
    for daemons in (2, 3, 9):
        count = 0
        budgets = [_budget() for _ in range(daemons)]
        for step in range(10):
            count += sum(_take_all(budget=budget, daemons=daemons, at=ms(100) * step) for budget in budgets)
        assert count <= 60, (daemons, count)


@pytest.mark.parametrize("seed", range(5))
def test_daemons_with_delayed_summaries_stay_within_the_allowance_together(seed):
    """Three daemons whose clock errors reach their bounds and whose messages take up to 1 s."""
    random_source = random.Random(seed)
    budgets = {name: _budget(ratio=0.2) for name in "abc"}
    clock_errors = {name: ms(random_source.uniform(-100, 100)) for name in budgets}
    messages: list[tuple[timedelta, str, str, dict]] = []
    taken: list[timedelta] = []
    request_times: list[timedelta] = []
    for tick in range(600):
        at = ms(100) * tick
        for name, budget in budgets.items():
            if random_source.random() < 0.3:
                budget.note_request(service="s", now=at)
                request_times.append(at)
            overloaded = 100 < tick < 400
            for _ in range(random_source.randrange(6) if overloaded else 0):
                if budget.take(
                    service="s", daemons=3, now=at, time=START_TIME + at + clock_errors[name], bound=ms(100)
                ):
                    taken.append(at)
            for other in budgets:
                if other != name and random_source.random() < 0.3:
                    messages.append((at + ms(random_source.uniform(0, 1000)), other, name, budget.summary()))
        for row in [row for row in messages if row[0] <= at]:
            messages.remove(row)
            budgets[row[1]].update_peer(daemon=row[2], draws=row[3])
    assert _violations(extras=taken, request_times=request_times, extra=60) == []
    assert len(taken) > 60


def test_draws_of_a_daemon_that_is_gone_count_until_their_slices_expire():
    """A daemon is killed two seconds after its draws; its sends are still within the ten seconds that are checked."""
    budgets = [_budget() for _ in range(3)]
    count = sum(_take_all(budget=budget, daemons=3, at=ms(100) * step) for step in range(5) for budget in budgets)
    for receiver in budgets:
        for number, sender in enumerate(budgets):
            if sender is not receiver:
                receiver.update_peer(daemon=str(number), draws=sender.summary())
    for budget in budgets[1:]:
        # Its failure has been detected.
        budget.forget(live={"1", "2"})
        count += sum(_take_all(budget=budget, daemons=2, at=SECOND * 7 + ms(100) * step) for step in range(5))
    assert count <= 60, count


def _violations(*, extras: list[timedelta], request_times: list[timedelta], extra: int = EXTRA) -> list[str]:
    """Describes each window of ten seconds that ends at an extra arrival and holds more than allowed."""
    found = []
    for end in extras:
        count = sum(end - WINDOW < at <= end for at in extras)
        requests = max(
            sum(end - WINDOW - back < at <= end - back for at in request_times) for back in (ZERO, WINDOW / 2, WINDOW)
        )
        if count > RETRY_RATIO * requests + extra:
            found.append(f"{count} extra arrivals for {requests} requests in the ten seconds to {end}")
    return found


def _breaches(*, sim_fleet: Fleet) -> list[str]:
    """Checks the budget at the engines. Of a request's arrivals the first accepted prefill and one other are free; the
    rest are extra."""
    extras = []
    for arrivals in sim_fleet.record.by_id.values():
        free_read, free_run = True, True
        for arrival in arrivals:
            if arrival.is_prefill and not arrival.rejected and free_read:
                free_read = False
            elif free_run:
                free_run = False
            else:
                extras.append(arrival.at)
    return _violations(extras=sorted(extras), request_times=[attempt.sent_at for attempt in sim_fleet.client.attempts])


def _set_handles_expired(*, sim_fleet: Fleet, expired: bool) -> None:
    for engine in sim_fleet.engines.values():
        if hasattr(engine, "expire_handles"):
            engine.expire_handles = expired


def _set_rejecting(*, sim_fleet: Fleet, phase: str, rejecting: bool) -> None:
    for engine in sim_fleet.engines.values():
        if getattr(engine, "phase", "") == phase:
            engine.rejecting = rejecting


PATHS = ("/notes/a", "/check/c", "/once/b")


def test_the_budget_holds_when_all_kv_handles_expire_at_once_under_load():
    with fleet(seed=41, extra=EXTRA) as sim_fleet:
        sim_fleet.send_load(paths=PATHS, per_second=12, seconds=2)
        _set_handles_expired(sim_fleet=sim_fleet, expired=True)
        attempts = sim_fleet.send_load(paths=PATHS, per_second=16, seconds=11)
        _set_handles_expired(sim_fleet=sim_fleet, expired=False)
        after = sim_fleet.send_load(paths=PATHS, per_second=12, seconds=2)
        assert _breaches(sim_fleet=sim_fleet) == []
        assert sim_fleet.violations(attempts=attempts + after) == []
        assert [attempt for attempt in after if not attempt.is_correct] == []
        sim_fleet.assert_no_failures()


def test_without_the_budget_expiring_handles_would_exceed_it(monkeypatch):
    monkeypatch.setattr(Budget, "take", lambda self, **_: True)
    with fleet(seed=41, extra=EXTRA) as sim_fleet:
        _set_handles_expired(sim_fleet=sim_fleet, expired=True)
        sim_fleet.send_load(paths=PATHS, per_second=20, seconds=3)
        assert _breaches(sim_fleet=sim_fleet)


def test_the_budget_holds_when_prefill_engines_reject_everything():
    with fleet(seed=42, extra=EXTRA) as sim_fleet:
        _set_rejecting(sim_fleet=sim_fleet, phase="prefill", rejecting=True)
        attempts = sim_fleet.send_load(paths=PATHS, per_second=20, seconds=3)
        assert sim_fleet.violations(attempts=attempts) == []
        sim_fleet.assert_no_failures()
        assert _breaches(sim_fleet=sim_fleet)[:1] == []


def test_the_budget_holds_when_decode_engines_reject_everything():
    with fleet(seed=43, extra=EXTRA) as sim_fleet:
        _set_rejecting(sim_fleet=sim_fleet, phase="decode", rejecting=True)
        attempts = sim_fleet.send_load(paths=PATHS, per_second=20, seconds=3)
        assert sim_fleet.violations(attempts=attempts) == []
        assert all(attempt.refused for attempt in attempts)
        sim_fleet.assert_no_failures()
        assert _breaches(sim_fleet=sim_fleet)[:1] == []


@pytest.mark.parametrize("killed", ((0,), (0, 1, 2)))
def test_the_budget_holds_across_killed_and_restarted_daemons(killed):
    """Sends of the previous processes are within the same ten seconds, and new processes know no peers at first."""
    with fleet(seed=44, extra=EXTRA) as sim_fleet:
        _set_handles_expired(sim_fleet=sim_fleet, expired=True)
        attempts = sim_fleet.send_load(paths=PATHS, per_second=20, seconds=3)
        for _ in range(2):
            for zone in killed:
                sim_fleet.kill(name=f"edge-{zone}")
            sim_fleet.sleep(seconds=0.3)
            for zone in killed:
                sim_fleet.start_daemon(name=f"edge-{zone}")
            assert sim_fleet.wait_until(what=sim_fleet.ready, limit=5 * SECOND)
            attempts += sim_fleet.send_load(paths=PATHS, per_second=20, seconds=2)
        assert sim_fleet.violations(attempts=attempts) == []
        sim_fleet.assert_no_failures()
        assert _breaches(sim_fleet=sim_fleet)[:1] == []
