"""Plan of a fleet on loopback addresses: its daemons, engines, configuration tree and request mix."""

import dataclasses
import json
from pathlib import Path
from typing import Any

import yaml


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetPlan:
    """Contents of a fleet file, with addresses assigned.

    `mix` describes the load, with keys lane, weight, promptBytes, prefixBytes, prefixes and pieces (range);
    `requests_per_second` is its normal rate; `link_us` is the base delay between two machines in the simulator;
    `speed` sets fields of the emulated engines' Speed. Invariant: every daemon and engine has an IP address of its
    own, 127.0.<net>.<n>; all daemons use the same ports, and so do all engines."""

    name: str
    cores: list[dict[str, Any]]
    edges: list[dict[str, Any]]
    engines: list[dict[str, Any]]
    tree: dict[str, Any]
    mix: list[dict[str, Any]]
    requests_per_second: float
    settings: dict[str, Any]
    link_us: int
    speed: dict[str, int]

    def daemon_settings(self, *, daemon: dict[str, Any], data_folder: str = "") -> dict[str, Any]:
        """Returns the settings of a daemon; `data_folder` is given for a core only."""
        seeds = [core["address"] for core in self.cores][:3]
        fields = {**self.settings, "name": daemon["name"], "site": daemon["site"], "seeds": seeds}
        fields |= {"address": daemon["address"], "http": daemon["http"]}
        if data_folder:
            fields |= {"data_folder": data_folder, "cores": len(self.cores)}
        return fields

    def engine_list(self) -> dict[str, Any]:
        """Returns the body of a request that replaces the engine list."""
        keys = ("engine", "service", "address", "site")
        return {"engines": [{key: engine[key] for key in keys} for engine in self.engines]}


def load(*, path: str) -> FleetPlan:
    """Reads a fleet file in YAML (by its suffix) or JSON."""
    text = Path(path).read_text()
    return build(fields=yaml.safe_load(text) if path.endswith(("yaml", "yml")) else json.loads(text))


def build(*, fields: dict[str, Any]) -> FleetPlan:
    """Assigns names, sites (round robin) and addresses, and returns the plan."""
    net = fields["net"]
    sites = list(fields["sites"])
    cores = [
        _daemon(name=f"core-{n}", site=sites[n % len(sites)], net=net, number=10 + n) for n in range(fields["cores"])
    ]
    edges = [
        _daemon(name=f"edge-{n}", site=sites[n % len(sites)], net=net, number=30 + n) for n in range(fields["edges"])
    ]
    engines = []
    for n, phase in enumerate(fields["engines"]):
        name = f"engine-{n}"
        engines.append(
            {
                "engine": name, "service": fields["service"], "site": sites[n % len(sites)], "phase": phase,
                "address": f"127.0.{net}.{100 + n}:7300",
            }
        )  # fmt: skip
    return FleetPlan(
        name=fields["name"], cores=cores, edges=edges, engines=engines, tree=fields["tree"], mix=fields["mix"],
        requests_per_second=fields["perSecond"], settings=fields.get("settings", {}), link_us=fields["linkUs"],
        speed=fields.get("speed", {}),
    )  # fmt: skip


def _daemon(*, name: str, site: str, net: int, number: int) -> dict[str, Any]:
    ip = f"127.0.{net}.{number}"
    return {"name": name, "site": site, "address": f"{ip}:7100", "http": f"{ip}:7200"}
