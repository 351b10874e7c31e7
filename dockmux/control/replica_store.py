"""What one core keeps on its disk: its identity and votes, and the chain's entries."""

import itertools
import random
from datetime import timedelta
from typing import Any

from dockmux.accord import codec
from dockmux.accord.catalogue import Note
from dockmux.accord.host import Folder, Host
from dockmux.accord.record_log import RecordLog, RecordLogDamaged
from dockmux.accord.types import Entry, View
from dockmux.control.state import State

REWRITE_FROM_BYTES = 4 * 1024 * 1024


class ReplicaStore:
    """Invariants:
    - `disk` names this disk; another disk, or an emptied one, has another name, for a vote or a copy that
      was lost with a disk must not be counted again;
    - `level` is true only while this disk holds every entry that was acknowledged before its view began;
    - `promised`, `accepted` and `founding` are synced before anyone is told of them;
    - `entries` are the synced ones after `base_mark`, without a gap; `opened` is the state at that mark when the
      daemon started.
    """

    def __init__(self, *, host: Host, folder: Folder, keep: timedelta) -> None:
        self.host = host
        self.votes = RecordLog(host=host, folder=folder, name="votes")
        self.chain = RecordLog(host=host, folder=folder, name="chain")
        self.keep = keep
        self.disk = ""
        self.view: View | None = None
        self.founding: View | None = None
        self.level = False
        self.promised: dict[str, Any] = {"number": 0, "ballot": 0, "proposer": ""}
        self.accepted: dict[str, Any] | None = None
        self.opened = State(keep=keep)
        self.base_mark = 0
        self.entries: list[Entry] = []

    def open(self) -> None:
        votes = self.votes.load()
        if votes is None or not votes:
            self.disk = f"{self.host.random.getrandbits(64):016x}"
            self.host.log(Note.DISK_FRESH, disk=self.disk)
            self.chain.rewrite(records=[{"snapshot": self.opened.snapshot().part(number=0)}])
            self.votes.rewrite(records=[{"disk": self.disk}])
            return
        for record in votes:
            self._recall(record=record)
        parts, wanted = 0, 1
        for record in self.chain.load() or []:
            if "snapshot" in record:
                self.opened.restore(fields=record["snapshot"])
                parts, wanted = parts + 1, record["snapshot"]["parts"]
            else:
                self.entries.append(Entry(mark=record["mark"], change=record["change"]))
        if parts != wanted:
            # The chain's file is there, whole, before the votes' is: else it was lost or cut off.
            self.host.log(Note.DISK_CORRUPT, file="chain", offset=0)
            raise RecordLogDamaged(0)
        self.base_mark = self.opened.mark

    def _recall(self, *, record: dict[str, Any]) -> None:
        if "disk" in record:
            self.disk = record["disk"]
        if "view" in record:
            self.view = codec.from_fields(kind=View, fields=record["view"])
        if "level" in record:
            self.level = record["level"]
        if "founding" in record:
            self.founding = codec.from_fields(kind=View, fields=record["founding"])
        if "promised" in record:
            self.promised = record["promised"]
        if "accepted" in record:
            self.accepted = record["accepted"]

    def vote(self, **fields: Any) -> None:
        """Syncs a change of the voting state, then takes it in."""
        record = {k: codec.to_fields(message=v) if isinstance(v, View) else v for k, v in fields.items()}
        self.votes.append(records=[record])
        self._recall(record=record)
        if self.votes.sizeBytes > max(REWRITE_FROM_BYTES // 16, 4 * self.votes.rewrittenBytes):
            try:
                self._rewrite_votes()
            except OSError as error:
                # The vote itself is synced; the long file is tried again with the next one.
                self.host.log(Note.DISK_FAILED, error=error)

    def _rewrite_votes(self) -> None:
        record: dict[str, Any] = {"disk": self.disk, "promised": self.promised, "level": self.level}
        if self.accepted is not None:
            record["accepted"] = self.accepted
        for key, view in (("view", self.view), ("founding", self.founding)):
            if view is not None:
                record[key] = codec.to_fields(message=view)
        self.votes.rewrite(records=[record])

    def append(self, *, entries: list[Entry]) -> None:
        self.chain.append(records=[codec.to_fields(message=entry) for entry in entries])
        self.entries.extend(entries)

    def shorten(self, *, state: State) -> None:
        """Rewrites the chain's file, when it has grown long, from the state that all agree on."""
        grown = self.chain.sizeBytes - self.chain.rewrittenBytes
        if grown > max(REWRITE_FROM_BYTES, self.chain.rewrittenBytes // 2):
            self.reset(state=state)

    def reset(self, *, state: State) -> None:
        """The file becomes a snapshot of this state and the synced entries after it."""
        snapshot = state.snapshot()
        rest = [entry for entry in self.entries if entry.mark > snapshot.mark]
        parts = ({"snapshot": part} for part in snapshot.all_parts())
        self.chain.rewrite(records=itertools.chain(parts, (codec.to_fields(message=entry) for entry in rest)))
        self.base_mark, self.entries = snapshot.mark, rest


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

    def log(self, note: Note, **fields: Any) -> None:
        return

    def sleep(self, *, wait: timedelta) -> None:
        return


def _vault(*, folder: Any) -> ReplicaStore:
    store = ReplicaStore(host=_Desk(), folder=folder, keep=timedelta(hours=24))
    store.open()
    return store


def _holds(*, store: ReplicaStore) -> Any:
    state = store.opened
    for entry in store.entries:
        state.fold(mark=entry.mark, change=entry.change)
    claims = sorted(state.claims.kept.items())
    return store.disk, store.view, store.level, store.promised, store.accepted, state.mark, state.config, claims


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
            state = cut.opened
            for entry in cut.entries[:30]:
                state.fold(mark=entry.mark, change=entry.change)
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
    state = store.opened
    for n, c in enumerate(claims):
        state.fold(mark=n + 1, change=c)
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
