"""Measures recovery from the loss of a zone, a partition between regions, and a rolling replacement of all daemons."""

import dataclasses
import statistics
from datetime import timedelta
from typing import Any

from dockmux.runtime.time_units import ms
from dockmux.scale_model.fleet import SimulatedFleet, Size, gc_disabled, simulated_fleet

EVENTS = ("zone", "region", "rolling")
PUT_RETRY_INTERVAL = timedelta(milliseconds=100)
RECOVERY_TIMEOUT = timedelta(seconds=60)


def wait_until_active(*, fleet: SimulatedFleet, names: list[str]) -> None:
    """Waits until the named data daemons use the newest configuration."""
    start_time = fleet.world.now()
    while not all(
        fleet.edges[n].config_tracker.table and fleet.edges[n].config_tracker.table.version == fleet.version
        for n in names
    ):
        if fleet.world.now() - start_time > RECOVERY_TIMEOUT:
            raise TimeoutError(f"version {fleet.version} is not active on all named daemons")
        fleet.operator_host.sleep(wait=ms(10))


def put_until_acknowledged(*, fleet: SimulatedFleet, core: str) -> timedelta:
    """Retries a configuration change until it is acknowledged, and returns how long this took."""
    start_time = fleet.world.now()
    fleet.version += 1
    while True:
        try:
            fleet.post_config(core=core)
            return fleet.world.now() - start_time
        except OSError:
            if fleet.world.now() - start_time > RECOVERY_TIMEOUT:
                raise
            fleet.operator_host.sleep(wait=PUT_RETRY_INTERVAL)


def time_until_removed(*, fleet: SimulatedFleet, names: list[str]) -> timedelta:
    """Returns how long it takes until no remaining daemon lists any of the named ones as a live peer."""
    start_time = fleet.world.now()
    lost_addresses = {fleet.edges[name].settings.address for name in names}
    remaining = [edge for name, edge in fleet.edges.items() if name not in names]
    while any(lost_addresses & {card.address for card in edge.peers.live_cards()} for edge in remaining):
        if fleet.world.now() - start_time > RECOVERY_TIMEOUT:
            raise TimeoutError("lost daemons are still listed as live peers")
        fleet.operator_host.sleep(wait=ms(50))
    return fleet.world.now() - start_time


def mean_received_bytes(*, fleet: SimulatedFleet, kind: str, names: list[str]) -> float:
    """Returns the mean number of bytes of one message type that the named daemons received since the last reset."""
    return statistics.mean(fleet.hosts[name].meter.received_bytes[kind] for name in names)


def run_zone_loss(*, fleet: SimulatedFleet) -> dict[str, Any]:
    """Kills every daemon of the first zone at once and starts them again at least 15 s later."""
    size = fleet.size
    cores = [index for index in range(size.cores) if index % size.zones == 0]
    edges = [index for index in range(size.daemons) if index % size.zones == 0]
    names = [fleet.edge_name(index=index) for index in edges]
    remaining = [name for name in fleet.edges if name not in names]
    for index in cores:
        fleet.hosts[f"core-{index}"].kill()
    for name in names:
        fleet.hosts[name].kill()
    time_to_acknowledge = put_until_acknowledged(fleet=fleet, core="core-1")
    start_time = fleet.world.now()
    wait_until_active(fleet=fleet, names=remaining)
    time_to_activate = fleet.world.now() - start_time
    time_to_remove = time_until_removed(fleet=fleet, names=names) + time_to_acknowledge + time_to_activate
    fleet.operator_host.sleep(wait=timedelta(seconds=15))
    fleet.reset_meters()
    list_calls_before = fleet.list_calls
    for index in cores:
        fleet.start_core(index=index)
    for index in edges:
        fleet.remove_edge(index=index)
        fleet.start_edge(index=index)
    time_to_rejoin = fleet.wait_until(condition="all_joined", timeout=RECOVERY_TIMEOUT)
    return {
        "daemons_lost": len(edges),
        "configuration_taken_again_ms": time_to_acknowledge / ms(1),
        "then_in_force_ms": time_to_activate / ms(1),
        "lost_forgotten_ms": time_to_remove / ms(1),
        "back_ms": time_to_rejoin / ms(1),
        "list_calls_at_return": fleet.list_calls - list_calls_before,
        "news_bytes_a_daemon_at_return": mean_received_bytes(fleet=fleet, kind="NewsReply", names=remaining),
    }


def run_region_partition(*, fleet: SimulatedFleet, partition_duration: timedelta) -> dict[str, Any]:
    """Partitions the zones z0 and z1 from the other three of five for at least `partition_duration`."""
    size = fleet.size
    majority_zones = {fleet.edges[name].settings.site for name in fleet.edges} - {"z0", "z1"}
    ips_by_side: dict[bool, list[str]] = {True: [], False: []}
    for daemon in (*fleet.cores.values(), *fleet.edges.values()):
        ips_by_side[daemon.settings.site in majority_zones].append(daemon.settings.address.partition(":")[0])
    for majority_ip in ips_by_side[True]:
        for minority_ip in ips_by_side[False]:
            fleet.world.cuts |= {(majority_ip, minority_ip), (minority_ip, majority_ip)}
    majority = [name for name, edge in fleet.edges.items() if edge.settings.site in majority_zones]
    minority = [name for name in fleet.edges if name not in majority]
    old_version = fleet.version
    time_to_acknowledge = put_until_acknowledged(fleet=fleet, core=f"core-{size.zones - 1}")
    start_time = fleet.world.now()
    wait_until_active(fleet=fleet, names=majority)
    time_to_activate = fleet.world.now() - start_time
    fleet.operator_host.sleep(wait=partition_duration)
    ready = sum(fleet.edges[name].is_ready() for name in minority)
    on_old_version = sum(fleet.edges[name].config_tracker.table.version == old_version for name in minority)
    fleet.reset_meters()
    fleet.world.cuts.clear()
    start_time = fleet.world.now()
    wait_until_active(fleet=fleet, names=minority)
    time_to_heal = fleet.world.now() - start_time
    time_to_join = fleet.wait_until(condition="all_joined", timeout=RECOVERY_TIMEOUT) + time_to_heal
    return {
        "daemons_apart": len(minority),
        "apart_s": partition_duration.total_seconds(),
        "configuration_taken_ms": time_to_acknowledge / ms(1),
        "then_in_force_on_the_majority_side_ms": time_to_activate / ms(1),
        "ready_with_the_old_one_on_the_other_side": min(ready, on_old_version),
        "in_force_after_healing_ms": time_to_heal / ms(1),
        "all_know_all_after_healing_ms": time_to_join / ms(1),
        "news_bytes_a_daemon_at_healing": mean_received_bytes(fleet=fleet, kind="NewsReply", names=list(fleet.edges)),
    }


def run_rolling_replacement(*, fleet: SimulatedFleet) -> dict[str, Any]:
    """Replaces each data daemon, then each control daemon, one at a time, each once its predecessor is ready."""
    fleet.reset_meters()
    list_calls_before = fleet.list_calls
    start_time = fleet.world.now()
    ready_times_ms: list[float] = []
    for index in range(fleet.size.daemons):
        name = fleet.edge_name(index=index)
        fleet.hosts[name].kill()
        fleet.remove_edge(index=index)
        fleet.start_edge(index=index)
        started_at = fleet.world.now()
        while name not in fleet.edges or not (fleet.edges[name].is_ready() and fleet.edges[name].gossip.ready()):
            if fleet.world.now() - started_at > RECOVERY_TIMEOUT:
                raise TimeoutError(f"{name} is not ready")
            fleet.operator_host.sleep(wait=ms(10))
        ready_times_ms.append((fleet.world.now() - started_at) / ms(1))
    total_time = fleet.world.now() - start_time
    # Read from the first daemon replaced: each restart begins a new meter, and this one covers nearly the whole time.
    news_bytes = mean_received_bytes(fleet=fleet, kind="NewsReply", names=[fleet.edge_name(index=0)])
    rejoin_times_ms = []
    for index in range(fleet.size.cores):
        name = f"core-{index}"
        fleet.hosts[name].kill()
        del fleet.cores[name]
        started_at = fleet.world.now()
        fleet.start_core(index=index)
        while name not in fleet.cores or not fleet.control_plane_ready():
            if fleet.world.now() - started_at > RECOVERY_TIMEOUT:
                raise TimeoutError(f"{name} has not rejoined the chain")
            fleet.operator_host.sleep(wait=ms(10))
        rejoin_times_ms.append((fleet.world.now() - started_at) / ms(1))
    time_to_acknowledge = put_until_acknowledged(fleet=fleet, core="core-1")
    wait_until_active(fleet=fleet, names=list(fleet.edges))
    return {
        "ready_again_ms_median": statistics.median(ready_times_ms),
        "ready_again_ms_max": max(ready_times_ms),
        "span_ms": total_time / ms(1),
        "list_calls": fleet.list_calls - list_calls_before,
        "news_bytes_of_the_first_replaced": news_bytes,
        "control_daemon_back_in_the_chain_ms_median": statistics.median(rejoin_times_ms),
        "control_daemon_back_in_the_chain_ms_max": max(rejoin_times_ms),
        "configuration_taken_after_ms": time_to_acknowledge / ms(1),
    }


def measure_recovery(*, event: str, size: Size, seed: int, seconds: float, adapter_path: str) -> dict[str, Any]:
    """Runs one event in a new fleet and returns its record; `seconds` is the length of the partition."""
    with gc_disabled(), simulated_fleet(size=size, seed=seed, adapter_path=adapter_path) as fleet:
        fleet.start()
        fleet.operator_host.sleep(wait=ms(1500))
        if event == "zone":
            result = run_zone_loss(fleet=fleet)
        elif event == "region":
            result = run_region_partition(fleet=fleet, partition_duration=timedelta(seconds=seconds))
        else:
            result = run_rolling_replacement(fleet=fleet)
        return {"event": event, "size": dataclasses.asdict(size), "seed": seed, "crashes": fleet.world.crashes} | result
