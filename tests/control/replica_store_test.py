"""A control daemon's disk: power cuts at every step of a rewrite, and damage."""

import random
from datetime import timedelta
from typing import Any

from dockmux.control.replica_store import ReplicaStore
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import Entry, View
from dockmux.runtime.record_log import RecordLogDamaged


class _PowerCut(Exception):
    """The machine is gone."""


class _CutFolder:
    """A folder on a disk whose power goes at a step of a rewrite. Invariant: `files` is what is found afterwards."""

    def __init__(self, *, files: dict[str, bytes], cut_at: str = "", moved: bool = True) -> None:
        self.files = files
        self.cut_at = cut_at
        self.moved = moved

    def read(self, *, name: str) -> bytes | None:
        return self.files.get(name)

    def append(self, *, name: str, data: bytes, offset: int) -> None:
        self.files[name] = self.files[name][:offset] + data

    def make_durable(self, *, name: str, size: int) -> None:
        if size < len(self.files[name]):
            self.files[name] = self.files[name][:size]

    def replace(self, *, name: str, data: bytes) -> None:
        steps = {
            "before the new file": {},
            "half written": {name + ".new": data[: len(data) // 2]},
            "before its sync": {name + ".new": b"\0" * len(data)},
            "before the renaming": {name + ".new": data},
            # Until the folder is synced, either name may be found.
            "before the folder's sync": {name: data} if self.moved else {name + ".new": data},
            "after it": {name: data},
        }
        if self.cut_at:
            self.files |= steps[self.cut_at]
            raise _PowerCut
        self.files[name] = data


class _Desk(Host):
    """A host without a machine."""

    def __init__(self) -> None:
        self.name = "desk"
        self.random = random.Random(1)

    def log(self, log_event: LogEvent, **fields: Any) -> None:
        return

    def sleep(self, *, wait: timedelta) -> None:
        return


def _vault(*, folder: Any) -> ReplicaStore:
    store = ReplicaStore(host=_Desk(), folder=folder, claim_retention=timedelta(hours=24))
    store.open()
    return store


def _holds(*, store: ReplicaStore) -> Any:
    state = store.initial_state
    for entry in store.entries:
        state.apply(mark=entry.mark, change=entry.change)
    claims = sorted(state.claims.claims_by_key.items())
    return store.disk, store.view, store.caught_up, store.promised, store.accepted, state.mark, state.config, claims


def test_a_power_cut_at_any_step_of_a_rewrite_of_either_file_loses_nothing():
    view = View(number=3, chain=["a"], voters=["a"])
    filled = _CutFolder(files={})
    store = _vault(folder=filled)
    store.vote(view=view, level=True)
    store.vote(promised={"number": 4, "ballot": 2, "proposer": "b"})
    change = {"kind": "config", "tree": {"a": 1}, "activateUs": 5}
    claims = [{"kind": "claim", "key": f"k{n}", "holder": "h", "atUs": n * 10**9} for n in range(50)]
    store.append(entries=[Entry(mark=n + 1, change=c) for n, c in enumerate([change, *claims])])
    wanted = _holds(store=_vault(folder=_CutFolder(files=dict(filled.files))))
    assert wanted[5] == 51 and len(wanted[7]) == 50
    steps = (
        "before the new file",
        "half written",
        "before its sync",
        "before the renaming",
        "before the folder's sync",
    )
    for step, moved in [(step, True) for step in (*steps, "after it")] + [(steps[-1], False)]:
        for file in ("votes", "chain"):
            folder = _CutFolder(files=dict(filled.files))
            cut = _vault(folder=folder)
            state = cut.initial_state
            for entry in cut.entries[:30]:
                state.apply(mark=entry.mark, change=entry.change)
            folder.cut_at, folder.moved = step, moved
            try:
                cut._rewrite_votes() if file == "votes" else cut.reset(state=state)
            except _PowerCut:
                again = _vault(folder=_CutFolder(files=dict(folder.files)))
                assert _holds(store=again) == wanted, (step, file)
                continue
            raise AssertionError(step)


def test_votes_without_a_whole_chain_are_damage():
    filled = _CutFolder(files={})
    store = _vault(folder=filled)
    claims = [{"kind": "claim", "key": f"k{n}", "holder": "h", "atUs": n * 10**9} for n in range(2000)]
    state = store.initial_state
    for n, c in enumerate(claims):
        state.apply(mark=n + 1, change=c)
    store.reset(state=state)
    lines = filled.files["chain"].splitlines(keepends=True)
    assert len(lines) > 2
    for chain in (None, b"", b"".join(lines[:-1]), lines[0][:40]):
        files = {"votes": filled.files["votes"]} | ({} if chain is None else {"chain": chain})
        try:
            _vault(folder=_CutFolder(files=files))
        except RecordLogDamaged:
            continue
        raise AssertionError(chain)
