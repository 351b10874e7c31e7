"""The list of engines as the daemons tell it to each other."""

import random
from datetime import timedelta

from dockmux.platform_proxy.deployment import Deployment
from dockmux.platform_proxy.directory import Directory
from dockmux.platform_proxy.protocol_adapter import EngineEntry
from dockmux.runtime.host import Host
from dockmux.runtime.time_units import ms


class StillHost(Host):
    """A host whose time stands until moved."""

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.random = random.Random(name)
        self.time = timedelta(hours=1)

    def elapsed(self) -> timedelta:
        return self.time

    def log(self, log_event: object, **fields: object) -> None:
        return


def row(*, name: str, leaving: bool = False) -> EngineEntry:
    return EngineEntry(
        engine=name, service="s", address="10.0.0.1:1", zone="z", phase="decode", slots=4, leaving=leaving
    )  # fmt: skip


def pair() -> list[Directory]:
    deployment = Deployment(drain=timedelta(seconds=3))
    return [Directory(host=StillHost(name=name), deployment=deployment, protocol=None) for name in ("a", "b")]


def test_a_copy_that_two_daemons_tell_each_other_grows_old_all_the_same():
    """Each telling is heard a little late; were its time counted from the hearing, two daemons would keep one copy
    young for ever, and nobody would ask for a newer one."""
    here, there = pair()
    here.replace(rows={"e": row(name="e")}, requested_at=here.host.elapsed(), origin="a:1")
    there.replace(rows={"e": row(name="e")}, requested_at=there.host.elapsed(), origin="a:1")
    for _ in range(40):
        for teller, hearer in ((here, there), (there, here)):
            told_age = teller.age
            for directory in (here, there):
                directory.host.time += ms(50)
            # Heard 50 ms after it was told.
            hearer.merge_peer(
                digest=teller.digest, origin=teller.origin, requested_at=hearer.host.elapsed() - told_age, delta=None
            )  # fmt: skip
    assert here.age >= timedelta(seconds=3.9) and there.age >= timedelta(seconds=3.9)
    assert here.due(rank=0) and there.due(rank=1)
