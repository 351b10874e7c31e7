"""A configuration as it was taken."""

import dataclasses
from datetime import datetime
from typing import Any

from dockmux.runtime.time_units import from_instant_us, instant_us

CONFIGS_KEPT = 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class Config:
    """One accepted configuration. Invariants: of two, the one with the higher mark has the later activate; `version`
    is the operator's own number, where operators give one, and rises with the mark."""

    mark: int
    tree: dict[str, Any]
    activate: datetime
    version: int = 0

    @property
    def number(self) -> int:
        """What operators call it by: their own number or, without one, its mark."""
        return self.version or self.mark

    def fields(self) -> dict[str, Any]:
        fields = {"mark": self.mark, "tree": self.tree, "activateUs": instant_us(self.activate)}
        return fields | {"version": self.version} if self.version else fields


def config_from(*, fields: dict[str, Any]) -> Config:
    return Config(
        mark=fields["mark"],
        tree=fields["tree"],
        activate=from_instant_us(fields["activateUs"]),
        version=fields.get("version", 0),
    )
