"""What one core keeps on its disk: its identity and votes, and the chain's entries."""

import itertools
from datetime import timedelta
from typing import Any

from dockmux.control.state import State
from dockmux.runtime import codec
from dockmux.runtime.host import DataFolder, Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import Entry, View
from dockmux.runtime.record_log import RecordLog, RecordLogDamaged

REWRITE_FROM_BYTES = 4 * 1024 * 1024


class ReplicaStore:
    """Invariants:
    - `disk` names this disk; another disk, or an emptied one, has another name, for a vote or a copy that
      was lost with a disk must not be counted again;
    - `level` is true only while this disk holds every entry that was acknowledged before its view began;
    - `may_found` says that this disk was empty at the first start of the whole system: it may take part in founding,
      also after a restart;
    - `promised`, `accepted` and `founding` are synced before anyone is told of them;
    - `entries` are the synced ones after `base_mark`, without a gap; `opened` is the state at that mark when the
      daemon started.
    """

    def __init__(self, *, host: Host, folder: DataFolder, keep: timedelta, may_found: bool = False) -> None:
        self.host = host
        self.may_found = may_found
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
            self.host.log(LogEvent.DISK_INITIALIZED, disk=self.disk)
            self.chain.rewrite(records=({"snapshot": part} for part in self.opened.snapshot().all_parts()))
            self.votes.rewrite(records=[{"disk": self.disk, "may_found": self.may_found}])
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
            self.host.log(LogEvent.RECORD_LOG_CORRUPT, file="chain", offset=0)
            raise RecordLogDamaged(0)
        self.chain.mark_rewritten(records=parts)
        self.base_mark = self.opened.mark

    def _recall(self, *, record: dict[str, Any]) -> None:
        if "disk" in record:
            self.disk = record["disk"]
        if "may_found" in record:
            self.may_found = record["may_found"]
        if "view" in record:
            self.view = codec.from_fields(message_type=View, fields=record["view"])
        if "level" in record:
            self.level = record["level"]
        if "founding" in record:
            self.founding = codec.from_fields(message_type=View, fields=record["founding"])
        if "promised" in record:
            self.promised = record["promised"]
        if "accepted" in record:
            self.accepted = record["accepted"]

    def vote(self, **fields: Any) -> None:
        """Syncs a change of the voting state, then takes it in."""
        record = {k: codec.to_fields(message=v) if isinstance(v, View) else v for k, v in fields.items()}
        self.votes.append(records=[record])
        self._recall(record=record)
        if self.votes.size_bytes > max(REWRITE_FROM_BYTES // 16, 4 * self.votes.rewritten_bytes):
            try:
                self._rewrite_votes()
            except OSError as error:
                # The vote itself is synced; the long file is tried again with the next one.
                self.host.log(LogEvent.DISK_FAILED, error=error)

    def _rewrite_votes(self) -> None:
        record: dict[str, Any] = {
            "disk": self.disk,
            "may_found": self.may_found,
            "promised": self.promised,
            "level": self.level,
        }
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
        grown = self.chain.size_bytes - self.chain.rewritten_bytes
        if grown > max(REWRITE_FROM_BYTES, self.chain.rewritten_bytes // 2):
            self.reset(state=state)

    def reset(self, *, state: State) -> None:
        """The file becomes a snapshot of this state and the synced entries after it."""
        snapshot = state.snapshot()
        rest = [entry for entry in self.entries if entry.mark > snapshot.mark]
        parts = ({"snapshot": part} for part in snapshot.all_parts())
        self.chain.rewrite(records=itertools.chain(parts, (codec.to_fields(message=entry) for entry in rest)))
        self.base_mark, self.entries = snapshot.mark, rest
