"""Reads a site file, and writes variants of it with other numbers of counted machines."""

import re
import tomllib
from copy import deepcopy
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .day import Kind
from .toml_writer import dumps

KIND_LINE = re.compile(r"^(\w+): ", re.MULTILINE)


@dataclass(frozen=True, kw_only=True)
class Site:
    """What the drawing needs of a site file."""

    path: Path
    name: str
    content: dict[str, Any]

    @property
    def troubles(self) -> tuple[dict[str, Any], ...]:
        """The troubles that the site lists as its own, where their kind is known here."""
        known = set(Kind)
        return tuple(entry for entry in self.content.get("troubles", []) if entry["kind"] in known)

    @property
    def tolerated(self) -> int:
        """How many counted machines may be lost at once."""
        return self.content.get("tolerate", {}).get("machines", 1)

    def traffic(self, *, load: float) -> tuple[dict[str, Any], ...]:
        """The site's traffic at a share of its rate; empty where it stays as it is."""
        if load == 1.0:
            return ()
        return tuple({**entry, "per_s": round(entry["per_s"] * load, 3)} for entry in self.content["traffic"])


def read(path: Path) -> Site:
    """The site file at this path."""
    content = tomllib.loads(path.read_text())
    return Site(path=path, name=content["name"], content=content)


def read_kinds(path: Path) -> frozenset[Kind]:
    """The kinds that a saved output of `fleetbench kinds` lists, as far as they are known here."""
    listed = set(KIND_LINE.findall(path.read_text()))
    return frozenset(kind for kind in Kind if kind in listed)


def write_variant(*, site: Site, core_machines: int, tolerated: int, folder: Path) -> Path:
    """A copy of the site with so many counted machines, of which so many may be lost at once."""
    content = deepcopy(site.content)
    content["name"] = f"{site.name}-core{core_machines}-lose{tolerated}"
    content["tolerate"]["machines"] = tolerated
    content["machines"] = _spread(machines=content["machines"], core_machines=core_machines)
    variant = folder / f"{content['name']}.toml"
    variant.write_text(dumps(content, sections=("day",)))
    for companion in _companions(site=site):
        name = f"{content['name']}{companion.suffix}" if companion.stem == site.path.stem else companion.name
        (folder / name).write_bytes(companion.read_bytes())
    return variant


def _companions(*, site: Site) -> list[Path]:
    """The files beside the site file that the bench looks for."""
    named = [site.path.with_suffix(".days"), site.path.parent / site.content.get("wire", "wire.json")]
    return [path for path in named if path.is_file()]


def _spread(*, machines: list[dict[str, Any]], core_machines: int) -> list[dict[str, Any]]:
    """The machine list with the counted machines dealt round to the zones that have some."""
    homes = [entry for entry in machines if entry["class"] == "core"]
    others = [entry for entry in machines if entry["class"] != "core"]
    for place, entry in enumerate(homes):
        entry["count"] = len(range(place, core_machines, len(homes)))
    return others + [entry for entry in homes if entry["count"]]
