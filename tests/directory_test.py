"""The age of the engine list when daemons pass it on to each other."""

import random
from datetime import timedelta

from dockmux.platform_proxy.deployment import Deployment
from dockmux.platform_proxy.directory import Directory
from dockmux.platform_proxy.protocol_adapter import EngineEntry
from dockmux.runtime.host import Host
from dockmux.runtime.time_units import ms


class SettableTimeHost(Host):
    """A host whose time changes only when a test sets it."""

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
    return [Directory(host=SettableTimeHost(name=name), deployment=deployment, protocol=None) for name in ("a", "b")]


def test_a_copy_that_two_daemons_report_to_each_other_still_ages():
    """Guards against copies that never age: each report arrives a little late, so if the age counted from its arrival,
    two daemons would keep one copy young for ever and none would fetch a newer one."""
    first, second = pair()
    first.replace(rows={"e": row(name="e")}, requested_at=first.host.elapsed(), origin="a:1")
    second.replace(rows={"e": row(name="e")}, requested_at=second.host.elapsed(), origin="a:1")
    for _ in range(40):
        for sender, receiver in ((first, second), (second, first)):
            reported_age = sender.age
            for directory in (first, second):
                directory.host.time += ms(50)
            # The report takes 50 ms.
            receiver.merge_peer(
                digest=sender.digest, origin=sender.origin, requested_at=receiver.host.elapsed() - reported_age,
                delta=None,
            )  # fmt: skip
    assert first.age >= timedelta(seconds=3.9) and second.age >= timedelta(seconds=3.9)
    assert first.due(rank=0) and second.due(rank=1)
