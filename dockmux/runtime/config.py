"""A configuration that the control plane has accepted."""

import dataclasses
from datetime import datetime
from typing import Any

from dockmux.runtime.time_units import from_instant_us, instant_us

# Accepted configurations that stay available.
CONFIGS_KEPT = 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class Config:
    """One accepted configuration.

    Invariants: of two configurations, the one with the higher `mark` (its position in the chain) has the later
    `activate` (the time from which it is in force). `version` is the operator's own number, 0 if operators assign
    none, and increases with the mark.
    """

    mark: int
    tree: dict[str, Any]
    activate: datetime
    version: int = 0

    @property
    def number(self) -> int:
        """The number shown to operators: their own version or, without one, the mark."""
        return self.version or self.mark

    def fields(self) -> dict[str, Any]:
        """The JSON object sent to other daemons and stored on disk."""
        fields = {"mark": self.mark, "tree": self.tree, "activateUs": instant_us(self.activate)}
        return fields | {"version": self.version} if self.version else fields


def config_from(*, fields: dict[str, Any]) -> Config:
    """The inverse of `Config.fields`."""
    return Config(
        mark=fields["mark"],
        tree=fields["tree"],
        activate=from_instant_us(fields["activateUs"]),
        version=fields.get("version", 0),
    )
