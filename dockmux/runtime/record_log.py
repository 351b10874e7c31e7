"""The append-only file: checksummed JSON lines, each a record or a batch of records, rewritten when long."""

import json
import zlib
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from dockmux.runtime.host import DataFolder, Host
from dockmux.runtime.log_events import LogEvent

HEAD_BYTES = 18
# A line with this key alone holds several records.
BATCH = "batch"
# So much of a long file is encoded at a stretch.
BREATH_BYTES = 100_000


class RecordLogDamaged(Exception):
    """A record that was once synced cannot be read."""


class Unsure(OSError):
    """Records could be neither synced nor cut off again: the next start may find them."""


def batch_line(*, records: list[dict[str, Any]]) -> bytes:
    """Records that are written at once share one checksum: a torn write loses all of them or none."""
    return line(record=records[0] if len(records) == 1 else {BATCH: records})


def line(*, record: dict[str, Any]) -> bytes:
    body = json.dumps(record, separators=(",", ":")).encode()
    return b"%08x %08x %s\n" % (zlib.crc32(body), len(body), body)


def _record_at(*, data: bytes, offset: int) -> tuple[bytes | None, int]:
    """The body that begins at offset, if its checksum holds, and where the record ends."""
    head = data[offset : offset + HEAD_BYTES]
    if len(head) < HEAD_BYTES or head[8:9] != b" " or head[17:18] != b" ":
        return None, offset
    try:
        checksum, size = int(head[:8], 16), int(head[9:17], 16)
    except ValueError:
        return None, offset
    body = data[offset + HEAD_BYTES : offset + HEAD_BYTES + size]
    if len(body) < size or zlib.crc32(body) != checksum:
        return None, offset
    return body, offset + HEAD_BYTES + size + 1


def parse(*, data: bytes) -> tuple[list[dict[str, Any]], int]:
    """The records and where they end."""
    records, ends = _scan(data=data)
    return records, ends[-1] if ends else 0


def _scan(*, data: bytes) -> tuple[list[dict[str, Any]], list[int]]:
    """The records, and for each where its line ends. A bad last line is torn and does not count; a bad one with a
    good one behind it is damage."""
    records: list[dict[str, Any]] = []
    ends: list[int] = []
    offset = 0
    while offset < len(data):
        body, end = _record_at(data=data, offset=offset)
        if body is None or data[end - 1 : end] != b"\n":
            if body is not None and end < len(data):
                raise RecordLogDamaged(offset)
            later = data.find(b"\n", offset)
            while later >= 0:
                if _record_at(data=data, offset=later + 1)[0] is not None:
                    raise RecordLogDamaged(offset)
                later = data.find(b"\n", later + 1)
            break
        record = json.loads(body)
        batch = record.get(BATCH, [record])
        records.extend(batch)
        ends.extend([end] * len(batch))
        offset = end
    return records, ends


class RecordLog:
    """Records on disk. Invariant: `sizeBytes` is the end of the last synced record; what lies beyond
    it in the file is cut off by the next append; `rewrittenBytes` is the part of it that the last rewrite left;
    `unsettled` is what a failed rewrite may have put in the file's place: nothing is written before that is known."""

    def __init__(self, *, host: Host, folder: DataFolder, name: str) -> None:
        self.host = host
        self.folder = folder
        self.name = name
        self.sizeBytes = 0
        self.rewrittenBytes = 0
        self.ends: list[int] = []
        self.unsettled: bytes | None = None

    def load(self) -> list[dict[str, Any]] | None:
        """What is in the file, synced; None when there is no file."""
        data = self.folder.read(name=self.name)
        if data is None:
            return None
        try:
            records, self.ends = _scan(data=data)
        except RecordLogDamaged as damage:
            self.host.log(LogEvent.DISK_CORRUPT, file=self.name, offset=damage.args[0])
            raise
        self.sizeBytes = self.ends[-1] if self.ends else 0
        self.rewrittenBytes = self.sizeBytes
        # What a killed process wrote is found again without having been synced: it counts only once it is.
        self.folder.make_durable(name=self.name, size=self.sizeBytes)
        if self.sizeBytes < len(data):
            self.host.log(LogEvent.DISK_TORN, file=self.name, lostBytes=len(data) - self.sizeBytes)
        return records

    def note_rewritten(self, *, records: int) -> None:
        """So many of the loaded records were left by the last rewrite; what is behind them has grown since."""
        self.rewrittenBytes = self.ends[records - 1]

    def append(self, *, records: list[dict[str, Any]]) -> None:
        """On return the records are synced; on Unsure that is not known; on another OSError none of them counts, now
        or at the next start: what may have been written of them is cut off, and that is synced."""
        self._settle()
        data = batch_line(records=records)
        try:
            self.folder.append(name=self.name, data=data, offset=self.sizeBytes)
        except OSError as error:
            try:
                self.folder.cut(name=self.name, offset=self.sizeBytes)
            except OSError:
                raise Unsure(*error.args) from None
            raise
        self.sizeBytes += len(data)

    def _settle(self) -> None:
        """Finds which file a failed rewrite left under the name, and syncs the name: an OSError leaves it unsettled."""
        if self.unsettled is None:
            return
        if self.folder.read(name=self.name) == self.unsettled:
            self.sizeBytes = self.rewrittenBytes = len(self.unsettled)
        self.folder.make_durable(name=self.name, size=self.sizeBytes)
        self.unsettled = None

    def rewrite(self, *, records: Iterable[dict[str, Any]]) -> None:
        """Others run between the records: a long file must not hold up a permit."""
        lines = []
        sinceBytes = 0
        for record in records:
            lines.append(line(record=record))
            sinceBytes += len(lines[-1])
            if sinceBytes > BREATH_BYTES:
                self.host.sleep(wait=timedelta())
                sinceBytes = 0
        data = b"".join(lines)
        self.unsettled = data
        self.folder.replace(name=self.name, data=data)
        self.unsettled = None
        self.host.log(LogEvent.LEDGER_REWRITTEN, file=self.name, beforeBytes=self.sizeBytes, afterBytes=len(data))
        self.sizeBytes = len(data)
        self.rewrittenBytes = len(data)
