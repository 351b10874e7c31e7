"""What a fleet needs to come back: a zone that is gone, regions apart, a rolling replacement of all daemons."""

import dataclasses
import statistics
from datetime import timedelta
from typing import Any

from dockmux.runtime.time_units import ms
from dockmux.scale_model.fleet import GaugeFleet, Size, fleet, uncollected

EVENTS = ("zone", "region", "rolling")
PUT_AGAIN = timedelta(milliseconds=100)
LIMIT = timedelta(seconds=60)


def wait_in_force(*, made: GaugeFleet, names: list[str]) -> None:
    began = made.world.now()
    while not all(
        made.edges[n].config_tracker.table and made.edges[n].config_tracker.table.version == made.version for n in names
    ):
        if made.world.now() - began > LIMIT:
            raise TimeoutError(f"version {made.version} is not in force")
        made.operator.sleep(wait=ms(10))


def put_until_taken(*, made: GaugeFleet, core: str) -> timedelta:
    """How long an operator tries until a configuration is acknowledged."""
    began = made.world.now()
    made.version += 1
    while True:
        try:
            made.send(core=core)
            return made.world.now() - began
        except OSError:
            if made.world.now() - began > LIMIT:
                raise
            made.operator.sleep(wait=PUT_AGAIN)


def lost(*, made: GaugeFleet, names: list[str]) -> timedelta:
    """How long until none of these is anybody's peer."""
    began = made.world.now()
    gone = {made.edges[name].settings.address for name in names}
    left = [edge for name, edge in made.edges.items() if name not in names]
    while any(gone & {card.address for card in edge.peers.live_cards()} for edge in left):
        if made.world.now() - began > LIMIT:
            raise TimeoutError("the lost are still peers")
        made.operator.sleep(wait=ms(50))
    return made.world.now() - began


def bytes_of(*, made: GaugeFleet, kind: str, names: list[str]) -> float:
    """Bytes of one type of message that each of these has received since the last reset."""
    return statistics.mean(made.hosts[name].meter.received_bytes[kind] for name in names)


def zone(*, made: GaugeFleet) -> dict[str, Any]:
    """Every machine of the first zone stops at once, and comes back 15 s later."""
    size = made.size
    cores = [place for place in range(size.cores) if place % size.zones == 0]
    edges = [place for place in range(size.daemons) if place % size.zones == 0]
    names = [made.edge_name(place=place) for place in edges]
    left = [name for name in made.edges if name not in names]
    for place in cores:
        made.hosts[f"core-{place}"].kill()
    for name in names:
        made.hosts[name].kill()
    taken = put_until_taken(made=made, core="core-1")
    began = made.world.now()
    wait_in_force(made=made, names=left)
    in_force = made.world.now() - began
    forgotten = lost(made=made, names=names) + taken + in_force
    made.operator.sleep(wait=timedelta(seconds=15))
    made.reset()
    calls = made.list_calls
    for place in cores:
        made.start_core(place=place)
    for place in edges:
        made.forget_edge(place=place)
        made.start_edge(place=place)
    back = made.wait_until(what="joined", limit=LIMIT)
    return {
        "daemons_lost": len(edges),
        "configuration_taken_again_ms": taken / ms(1),
        "then_in_force_ms": in_force / ms(1),
        "lost_forgotten_ms": forgotten / ms(1),
        "back_ms": back / ms(1),
        "list_calls_at_return": made.list_calls - calls,
        "news_bytes_a_daemon_at_return": bytes_of(made=made, kind="NewsReply", names=left),
    }


def region(*, made: GaugeFleet, apart: timedelta) -> dict[str, Any]:
    """Two of five zones cannot reach the other three."""
    size = made.size
    near = {made.edges[name].settings.site for name in made.edges} - {"z0", "z1"}
    sides: dict[bool, list[str]] = {True: [], False: []}
    for daemon in (*made.cores.values(), *made.edges.values()):
        sides[daemon.settings.site in near].append(daemon.settings.address.partition(":")[0])
    for one in sides[True]:
        for other in sides[False]:
            made.world.cuts |= {(one, other), (other, one)}
    majority = [name for name, edge in made.edges.items() if edge.settings.site in near]
    minority = [name for name in made.edges if name not in majority]
    before = made.version
    taken = put_until_taken(made=made, core=f"core-{size.zones - 1}")
    began = made.world.now()
    wait_in_force(made=made, names=majority)
    in_force = made.world.now() - began
    made.operator.sleep(wait=apart)
    ready = sum(made.edges[name].is_ready() for name in minority)
    old = sum(made.edges[name].config_tracker.table.version == before for name in minority)
    made.reset()
    made.world.cuts.clear()
    began = made.world.now()
    wait_in_force(made=made, names=minority)
    healed = made.world.now() - began
    joined = made.wait_until(what="joined", limit=LIMIT) + healed
    return {
        "daemons_apart": len(minority),
        "apart_s": apart.total_seconds(),
        "configuration_taken_ms": taken / ms(1),
        "then_in_force_on_the_majority_side_ms": in_force / ms(1),
        "ready_with_the_old_one_on_the_other_side": min(ready, old),
        "in_force_after_healing_ms": healed / ms(1),
        "all_know_all_after_healing_ms": joined / ms(1),
        "news_bytes_a_daemon_at_healing": bytes_of(made=made, kind="NewsReply", names=list(made.edges)),
    }


def rolling(*, made: GaugeFleet) -> dict[str, Any]:
    """Each data daemon is replaced, the next one when the last is ready, then each control daemon."""
    made.reset()
    calls = made.list_calls
    began = made.world.now()
    took: list[float] = []
    for place in range(made.size.daemons):
        name = made.edge_name(place=place)
        made.hosts[name].kill()
        made.forget_edge(place=place)
        made.start_edge(place=place)
        since = made.world.now()
        while name not in made.edges or not (made.edges[name].is_ready() and made.edges[name].gossip.ready()):
            if made.world.now() - since > LIMIT:
                raise TimeoutError(f"{name} is not ready")
            made.operator.sleep(wait=ms(10))
        took.append((made.world.now() - since) / ms(1))
    span = made.world.now() - began
    # Those replaced early received for nearly the whole span; the meters of later ones began anew.
    news = bytes_of(made=made, kind="NewsReply", names=[made.edge_name(place=0)])
    core_took = []
    for place in range(made.size.cores):
        name = f"core-{place}"
        made.hosts[name].kill()
        del made.cores[name]
        since = made.world.now()
        made.start_core(place=place)
        while name not in made.cores or not made.has_head():
            if made.world.now() - since > LIMIT:
                raise TimeoutError(f"{name} is not back in the chain")
            made.operator.sleep(wait=ms(10))
        core_took.append((made.world.now() - since) / ms(1))
    taken = put_until_taken(made=made, core="core-1")
    wait_in_force(made=made, names=list(made.edges))
    return {
        "ready_again_ms_median": statistics.median(took),
        "ready_again_ms_max": max(took),
        "span_ms": span / ms(1),
        "list_calls": made.list_calls - calls,
        "news_bytes_of_the_first_replaced": news,
        "control_daemon_back_in_the_chain_ms_median": statistics.median(core_took),
        "control_daemon_back_in_the_chain_ms_max": max(core_took),
        "configuration_taken_after_ms": taken / ms(1),
    }


def recover(*, event: str, size: Size, seed: int, seconds: float, words: str) -> dict[str, Any]:
    """One event in one fleet; `seconds` is how long regions are apart."""
    with uncollected(), fleet(size=size, seed=seed, words=words) as made:
        made.up()
        made.operator.sleep(wait=ms(1500))
        if event == "zone":
            told = zone(made=made)
        elif event == "region":
            told = region(made=made, apart=timedelta(seconds=seconds))
        else:
            told = rolling(made=made)
        return {"event": event, "size": dataclasses.asdict(size), "seed": seed, "crashes": made.world.crashes} | told
