"""Reads a site file and writes variants of it with other numbers of control-plane machines (class "core")."""

import re
import tomllib
from copy import deepcopy
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .day import Kind
from .toml_writer import format_toml

KIND_LINE_PATTERN = re.compile(r"^(\w+): ", re.MULTILINE)


@dataclass(frozen=True, kw_only=True)
class Site:
    """The content of a site file."""

    path: Path
    name: str
    content: dict[str, Any]

    @property
    def listed_events(self) -> tuple[dict[str, Any], ...]:
        """The events that the site file lists, without those of unsupported kinds."""
        supported = set(Kind)
        return tuple(entry for entry in self.content.get("troubles", []) if entry["kind"] in supported)

    @property
    def tolerated(self) -> int:
        """How many control-plane machines may fail at once."""
        return self.content.get("tolerate", {}).get("machines", 1)

    def traffic(self, *, load: float) -> tuple[dict[str, Any], ...]:
        """Returns the site's traffic with its rates multiplied by `load`, or nothing for a load of 1.0."""
        if load == 1.0:
            return ()
        return tuple({**entry, "per_s": round(entry["per_s"] * load, 3)} for entry in self.content["traffic"])


def read_site(path: Path) -> Site:
    """Reads the site file at `path`."""
    content = tomllib.loads(path.read_text())
    return Site(path=path, name=content["name"], content=content)


def read_kinds(path: Path) -> frozenset[Kind]:
    """Reads the supported kinds from the saved output of `fleetbench kinds`, ignoring others."""
    listed = set(KIND_LINE_PATTERN.findall(path.read_text()))
    return frozenset(kind for kind in Kind if kind in listed)


def write_variant(*, site: Site, core_machines: int, tolerated: int, folder: Path) -> Path:
    """Writes a copy of the site with `core_machines` control-plane machines, of which `tolerated` may fail at once.

    Copies the companion files to the same folder, and returns the path of the new site file.
    """
    content = deepcopy(site.content)
    content["name"] = f"{site.name}-core{core_machines}-lose{tolerated}"
    content["tolerate"]["machines"] = tolerated
    content["machines"] = _distribute_core_machines(machines=content["machines"], core_machines=core_machines)
    variant = folder / f"{content['name']}.toml"
    variant.write_text(format_toml(content, sections=("day",)))
    for companion in _companion_files(site=site):
        name = f"{content['name']}{companion.suffix}" if companion.stem == site.path.stem else companion.name
        (folder / name).write_bytes(companion.read_bytes())
    return variant


def _companion_files(*, site: Site) -> list[Path]:
    """Returns the files next to the site file that the bench also reads."""
    candidates = [site.path.with_suffix(".days"), site.path.parent / site.content.get("wire", "wire.json")]
    return [path for path in candidates if path.is_file()]


def _distribute_core_machines(*, machines: list[dict[str, Any]], core_machines: int) -> list[dict[str, Any]]:
    """Returns the machine list with the control-plane machines distributed round-robin over the zones that have any."""
    core_entries = [entry for entry in machines if entry["class"] == "core"]
    other_entries = [entry for entry in machines if entry["class"] != "core"]
    for index, entry in enumerate(core_entries):
        entry["count"] = len(range(index, core_machines, len(core_entries)))
    return other_entries + [entry for entry in core_entries if entry["count"]]
