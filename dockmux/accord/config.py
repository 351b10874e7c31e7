"""A configuration as it was taken."""

import dataclasses
from datetime import datetime
from typing import Any

from dockmux.accord.span import from_instant_us, instant_us

CONFIGS_KEPT = 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class Config:
    """One accepted configuration. Invariant: of two, the one with the higher mark has the later activate."""

    mark: int
    tree: dict[str, Any]
    activate: datetime

    def fields(self) -> dict[str, Any]:
        return {"mark": self.mark, "tree": self.tree, "activateUs": instant_us(self.activate)}


def config_from(*, fields: dict[str, Any]) -> Config:
    return Config(mark=fields["mark"], tree=fields["tree"], activate=from_instant_us(fields["activateUs"]))
