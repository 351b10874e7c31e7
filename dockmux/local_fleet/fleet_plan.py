"""A fleet's plan: which machines, engines and lanes a deployment has, on loopback addresses."""

import dataclasses
import json
from pathlib import Path
from typing import Any

import yaml


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetPlan:
    """Read from a fleet file. Invariant: every daemon and engine has an address of its own: 127.0.<net>.<n>
    and a port in common for each kind."""

    name: str
    cores: list[dict[str, Any]]
    edges: list[dict[str, Any]]
    engines: list[dict[str, Any]]
    tree: dict[str, Any]
    mix: list[dict[str, Any]]
    perSecond: float
    settings: dict[str, Any]
    linkUs: int
    speed: dict[str, int]

    def daemon_settings(self, *, daemon: dict[str, Any], data_folder: str = "") -> dict[str, Any]:
        seeds = [core["address"] for core in self.cores][:3]
        fields = {**self.settings, "name": daemon["name"], "site": daemon["site"], "seeds": seeds}
        fields |= {"address": daemon["address"], "http": daemon["http"]}
        if data_folder:
            fields |= {"data_folder": data_folder, "cores": len(self.cores)}
        return fields

    def engine_list(self) -> dict[str, Any]:
        keys = ("engine", "service", "address", "site")
        return {"engines": [{key: engine[key] for key in keys} for engine in self.engines]}


def load(*, path: str) -> FleetPlan:
    text = Path(path).read_text()
    return build(fields=yaml.safe_load(text) if path.endswith(("yaml", "yml")) else json.loads(text))


def build(*, fields: dict[str, Any]) -> FleetPlan:
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
        perSecond=fields["perSecond"], settings=fields.get("settings", {}), linkUs=fields["linkUs"],
        speed=fields.get("speed", {}),
    )  # fmt: skip


def _daemon(*, name: str, site: str, net: int, number: int) -> dict[str, Any]:
    ip = f"127.0.{net}.{number}"
    return {"name": name, "site": site, "address": f"{ip}:7100", "http": f"{ip}:7200"}
