"""Load far beyond the capacity of the remaining engines."""

import dataclasses
import random
from datetime import timedelta

import pytest

from dockmux.runtime.time_units import ms
from tests.standins.client import Attempt
from tests.standins.engine import PrefillQueue
from tests.standins.fleet import SECOND, Fleet, fleet

# Required share of served requests after the machines are back (RECOVER).
MIN_SERVED_SHARE = 0.25
# Added delay of each event per running stream: all streams together get at most 1000 / 5 events a second.
STREAM_DELAY = timedelta(milliseconds=5)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """One kind of request: its rate, its mean prompt length and its answer length in tokens, and its deadline."""

    path: str
    per_second: float
    tokens_in: int
    tokens_out: int
    deadline_s: float = 8.0


# Urgent long prompts that alone exceed the prefill capacity of one engine, and shorter ones queued behind them.
URGENT_AND_LONG = (
    Load(path="/notes/a", per_second=5.1, tokens_in=6600, tokens_out=36),
    Load(path="/once/b", per_second=9.0, tokens_in=700, tokens_out=31),
    Load(path="/check/c", per_second=7.8, tokens_in=1800, tokens_out=0, deadline_s=2.5),
)
UNIFORM_LOAD = (Load(path="/once/b", per_second=20.0, tokens_in=2000, tokens_out=24),)


def run_load(*, sim_fleet: Fleet, loads: tuple[Load, ...], seconds: float) -> list[Attempt]:
    """Sends requests at random times for `seconds`; a refused client retries once, after its Retry-After."""
    rng = random.Random(5)
    end = sim_fleet.world.now() + SECOND * seconds
    attempts: list[Attempt] = []
    for load in loads:
        sim_fleet.outside.spawn(
            task=_send_periodically, sim_fleet=sim_fleet, load=load, end=end, rng=rng, attempts=attempts
        )
    sim_fleet.sleep(seconds=seconds + 10)
    return attempts


def _send_periodically(
    *, sim_fleet: Fleet, load: Load, end: object, rng: random.Random, attempts: list[Attempt]
) -> None:
    while sim_fleet.world.now() < end:
        sim_fleet.sleep(seconds=rng.expovariate(load.per_second))
        sim_fleet.outside.spawn(
            task=_send_with_retry,
            sim_fleet=sim_fleet,
            load=load,
            edge=rng.choice(sim_fleet.edges),
            rng=rng,
            attempts=attempts,
        )


def _send_with_retry(*, sim_fleet: Fleet, load: Load, edge: str, rng: random.Random, attempts: list[Attempt]) -> None:
    tokens = max(int(rng.lognormvariate(0, 0.8) * load.tokens_in * 0.73), 50)
    request = sim_fleet.request(
        path=load.path, tokens_in=tokens, tokens_out=load.tokens_out,
        prefix_blocks=f"own{rng.getrandbits(40):x}:{tokens}", deadline=SECOND * load.deadline_s,
    )  # fmt: skip
    attempts.append(attempt := Attempt(request=request, edge=edge, sent_at=sim_fleet.world.now()))
    index = len(attempts) - 1
    result = sim_fleet.client.send(edge=edge, request=request)
    if result.status == 503:
        sim_fleet.outside.sleep(wait=SECOND * float(result.headers["retry-after"]))
        retried = dataclasses.replace(request, request_id=f"{request.request_id}b")
        time_left = request.deadline - (sim_fleet.world.now() - attempt.sent_at)
        if time_left > ms(100):
            result = sim_fleet.client.send(
                edge=rng.choice(sim_fleet.edges), request=dataclasses.replace(retried, deadline=time_left)
            )
    attempts[index] = result


def served_share(*, attempts: list[Attempt]) -> float:
    return sum(attempt.is_correct for attempt in attempts) / len(attempts)


@pytest.mark.parametrize("loads", (URGENT_AND_LONG, UNIFORM_LOAD), ids=("urgent and long", "uniform"))
def test_one_overloaded_engine_still_serves_a_share_of_its_requests(loads):
    """Guards against a service that serves almost no request while too few engines are left (RECOVER)."""
    with fleet(seed=91, phases="d", slots=64) as sim_fleet:
        engine = sim_fleet.engines["i-d0"]
        engine.queue, engine.stream_delay, engine.event_interval = (
            PrefillQueue(host=engine.host),
            STREAM_DELAY,
            ms(3),
        )
        attempts = run_load(sim_fleet=sim_fleet, loads=loads, seconds=30)
        settled = [attempt for attempt in attempts if attempt.sent_at > attempts[0].sent_at + 5 * SECOND]
        by_path = {load.path: [attempt for attempt in settled if attempt.request.path == load.path] for load in loads}
        shares = {path: round(served_share(attempts=path_attempts), 3) for path, path_attempts in by_path.items()}
        assert served_share(attempts=settled) >= MIN_SERVED_SHARE, (served_share(attempts=settled), shares)
        assert min(shares.values()) >= MIN_SERVED_SHARE / 2, shares
        assert sim_fleet.violations(attempts=sim_fleet.client.attempts) == []
        sim_fleet.assert_no_failures()
