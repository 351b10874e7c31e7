"""Storage of a control daemon: power loss at every step of a rewrite, and damaged files."""

import random
from datetime import timedelta
from typing import Any

from dockmux.control.replica_store import ReplicaStore
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import Entry, View
from dockmux.runtime.record_log import RecordLogDamaged


class _PowerLoss(Exception):
    """The machine lost power."""


class _PowerLossFolder:
    """A folder that loses power at the step `fails_at` of a rewrite. Invariant: `files` is what is found afterwards."""

    def __init__(self, *, files: dict[str, bytes], fails_at: str = "", rename_visible: bool = True) -> None:
        self.files = files
        self.fails_at = fails_at
        self.rename_visible = rename_visible

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
            # Until the folder is synced, either name may be found after the power loss.
            "before the folder's sync": {name: data} if self.rename_visible else {name + ".new": data},
            "after it": {name: data},
        }
        if self.fails_at:
            self.files |= steps[self.fails_at]
            raise _PowerLoss
        self.files[name] = data


class _NullHost(Host):
    """A host that does nothing."""

    def __init__(self) -> None:
        self.name = "desk"
        self.random = random.Random(1)

    def log(self, log_event: LogEvent, **fields: Any) -> None:
        return

    def sleep(self, *, wait: timedelta) -> None:
        return


def _open_store(*, folder: Any) -> ReplicaStore:
    store = ReplicaStore(host=_NullHost(), folder=folder, claim_retention=timedelta(hours=24))
    store.open()
    return store


def _contents(*, store: ReplicaStore) -> Any:
    state = store.initial_state
    for entry in store.entries:
        state.apply(mark=entry.mark, change=entry.change)
    claims = sorted(state.claims.claims_by_key.items())
    return store.disk, store.view, store.caught_up, store.promised, store.accepted, state.mark, state.config, claims


def test_power_loss_at_any_step_of_a_rewrite_loses_nothing():
    view = View(number=3, chain=["a"], voters=["a"])
    filled = _PowerLossFolder(files={})
    store = _open_store(folder=filled)
    store.vote(view=view, level=True)
    store.vote(promised={"number": 4, "ballot": 2, "proposer": "b"})
    change = {"kind": "config", "tree": {"a": 1}, "activateUs": 5}
    claims = [{"kind": "claim", "key": f"k{n}", "holder": "h", "atUs": n * 10**9} for n in range(50)]
    store.append(entries=[Entry(mark=n + 1, change=c) for n, c in enumerate([change, *claims])])
    wanted = _contents(store=_open_store(folder=_PowerLossFolder(files=dict(filled.files))))
    assert wanted[5] == 51 and len(wanted[7]) == 50
    steps = (
        "before the new file",
        "half written",
        "before its sync",
        "before the renaming",
        "before the folder's sync",
    )
    for step, rename_visible in [(step, True) for step in (*steps, "after it")] + [(steps[-1], False)]:
        for file in ("votes", "chain"):
            folder = _PowerLossFolder(files=dict(filled.files))
            interrupted = _open_store(folder=folder)
            state = interrupted.initial_state
            for entry in interrupted.entries[:30]:
                state.apply(mark=entry.mark, change=entry.change)
            folder.fails_at, folder.rename_visible = step, rename_visible
            try:
                interrupted._rewrite_votes() if file == "votes" else interrupted.reset(state=state)
            except _PowerLoss:
                again = _open_store(folder=_PowerLossFolder(files=dict(folder.files)))
                assert _contents(store=again) == wanted, (step, file)
                continue
            raise AssertionError(step)


def test_votes_without_a_complete_chain_file_are_damage():
    filled = _PowerLossFolder(files={})
    store = _open_store(folder=filled)
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
            _open_store(folder=_PowerLossFolder(files=files))
        except RecordLogDamaged:
            continue
        raise AssertionError(chain)
