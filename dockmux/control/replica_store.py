"""Persistent storage of a core: its identity and votes, and the chain's log."""

import itertools
from datetime import timedelta
from typing import Any

from dockmux.control.state import State
from dockmux.runtime import codec
from dockmux.runtime.host import DataFolder, Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import Entry, View
from dockmux.runtime.record_log import RecordLog, RecordLogDamaged

MIN_REWRITE_BYTES = 4 * 1024 * 1024


class ReplicaStore:
    """The votes and the log of one core, in the files `votes` and `chain`.

    Invariants:
    - `disk` identifies this disk. A replaced or emptied disk gets a new identity, so that a vote or a copy that was
      lost with a disk is not counted again;
    - `caught_up` (stored as `level`) is true only while this disk holds every entry that was acknowledged before its
      view began;
    - `may_found` says that this disk was empty at the first start of the whole system: it may take part in founding,
      also after a restart;
    - `promised`, `accepted` and `founding` are synced before any other core is told of them;
    - `entries` are the synced log entries after index `base_index`, without a gap; `initial_state` is the state at that
      index when the daemon started.
    """

    def __init__(self, *, host: Host, folder: DataFolder, claim_retention: timedelta, may_found: bool = False) -> None:
        self.host = host
        self.may_found = may_found
        self.vote_log = RecordLog(host=host, folder=folder, name="votes")
        self.entry_log = RecordLog(host=host, folder=folder, name="chain")
        self.claim_retention = claim_retention
        self.disk = ""
        self.view: View | None = None
        self.founding: View | None = None
        self.caught_up = False
        self.promised: dict[str, Any] = {"number": 0, "ballot": 0, "proposer": ""}
        self.accepted: dict[str, Any] | None = None
        self.initial_state = State(claim_retention=claim_retention)
        self.base_index = 0
        self.entries: list[Entry] = []

    def open(self) -> None:
        """Loads both files, or creates them on an empty disk. RecordLogDamaged if either is damaged or
        `chain` is lost."""
        votes = self.vote_log.load()
        if votes is None or not votes:
            self.disk = f"{self.host.random.getrandbits(64):016x}"
            self.host.log(LogEvent.DISK_INITIALIZED, disk=self.disk)
            self.entry_log.rewrite(records=({"snapshot": part} for part in self.initial_state.snapshot().all_parts()))
            self.vote_log.rewrite(records=[{"disk": self.disk, "may_found": self.may_found}])
            return
        for record in votes:
            self._apply_vote_record(record=record)
        parts, wanted = 0, 1
        for record in self.entry_log.load() or []:
            if "snapshot" in record:
                self.initial_state.restore(fields=record["snapshot"])
                parts, wanted = parts + 1, record["snapshot"]["parts"]
            else:
                self.entries.append(Entry(mark=record["mark"], change=record["change"]))
        if parts != wanted:
            # `chain` is written in full before `votes` exists, so it has been lost or truncated.
            self.host.log(LogEvent.RECORD_LOG_CORRUPT, file="chain", offset=0)
            raise RecordLogDamaged(0)
        self.entry_log.mark_rewritten(records=parts)
        self.base_index = self.initial_state.mark

    def _apply_vote_record(self, *, record: dict[str, Any]) -> None:
        if "disk" in record:
            self.disk = record["disk"]
        if "may_found" in record:
            self.may_found = record["may_found"]
        if "view" in record:
            self.view = codec.from_fields(message_type=View, fields=record["view"])
        if "level" in record:
            self.caught_up = record["level"]
        if "founding" in record:
            self.founding = codec.from_fields(message_type=View, fields=record["founding"])
        if "promised" in record:
            self.promised = record["promised"]
        if "accepted" in record:
            self.accepted = record["accepted"]

    def vote(self, **fields: Any) -> None:
        """Syncs a change of the voting state to disk, then applies it in memory. The names of `fields` are stored keys.
        OSError if the sync fails: nothing has changed in memory then."""
        record = {k: codec.to_fields(message=v) if isinstance(v, View) else v for k, v in fields.items()}
        self.vote_log.append(records=[record])
        self._apply_vote_record(record=record)
        if self.vote_log.size_bytes > max(MIN_REWRITE_BYTES // 16, 4 * self.vote_log.rewritten_bytes):
            try:
                self._rewrite_votes()
            except OSError as error:
                # The vote itself is synced; the rewrite is retried with the next vote.
                self.host.log(LogEvent.DISK_FAILED, error=error)

    def _rewrite_votes(self) -> None:
        record: dict[str, Any] = {
            "disk": self.disk,
            "may_found": self.may_found,
            "promised": self.promised,
            "level": self.caught_up,
        }
        if self.accepted is not None:
            record["accepted"] = self.accepted
        for key, view in (("view", self.view), ("founding", self.founding)):
            if view is not None:
                record[key] = codec.to_fields(message=view)
        self.vote_log.rewrite(records=[record])

    def append(self, *, entries: list[Entry]) -> None:
        """Syncs entries to disk as one batch."""
        self.entry_log.append(records=[codec.to_fields(message=entry) for entry in entries])
        self.entries.extend(entries)

    def compact(self, *, state: State) -> None:
        """Rewrites the log file, if it has grown long, as a snapshot of the acknowledged state and the
        entries after it."""
        grown = self.entry_log.size_bytes - self.entry_log.rewritten_bytes
        if grown > max(MIN_REWRITE_BYTES, self.entry_log.rewritten_bytes // 2):
            self.reset(state=state)

    def reset(self, *, state: State) -> None:
        """Rewrites the log file as a snapshot of `state` and the synced entries after it."""
        snapshot = state.snapshot()
        rest = [entry for entry in self.entries if entry.mark > snapshot.mark]
        parts = ({"snapshot": part} for part in snapshot.all_parts())
        self.entry_log.rewrite(records=itertools.chain(parts, (codec.to_fields(message=entry) for entry in rest)))
        self.base_index, self.entries = snapshot.mark, rest
