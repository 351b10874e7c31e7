"""An append-only record log: checksummed JSON lines, each one record or a batch of records.

The log is rewritten as a whole when it has grown long. A line is "CRC32 SIZE BODY", CRC and size as 8 hex digits.
"""

import json
import zlib
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from dockmux.runtime.host import DataFolder, Host
from dockmux.runtime.log_events import LogEvent

HEADER_BYTES = 18
# A line whose object has this key alone holds several records.
BATCH_KEY = "batch"
# Bytes encoded during a rewrite before other tasks get to run.
YIELD_INTERVAL_BYTES = 100_000


class RecordLogDamaged(Exception):
    """A record that had been synced cannot be read. The argument is its byte offset."""


class AppendOutcomeUnknown(OSError):
    """An append failed, and so did removing what it wrote: the next start may or may not find the records."""


def encode_batch(*, records: list[dict[str, Any]]) -> bytes:
    """Encodes records that are appended together under one checksum, so that a torn write loses all of them or none."""
    return encode_record(record=records[0] if len(records) == 1 else {BATCH_KEY: records})


def encode_record(*, record: dict[str, Any]) -> bytes:
    """Encodes one record as a line."""
    body = json.dumps(record, separators=(",", ":")).encode()
    return b"%08x %08x %s\n" % (zlib.crc32(body), len(body), body)


def _record_at(*, data: bytes, offset: int) -> tuple[bytes | None, int]:
    """The body of the line at `offset` and the line's end; None and `offset` if the line is invalid."""
    head = data[offset : offset + HEADER_BYTES]
    if len(head) < HEADER_BYTES or head[8:9] != b" " or head[17:18] != b" ":
        return None, offset
    try:
        checksum, size = int(head[:8], 16), int(head[9:17], 16)
    except ValueError:
        return None, offset
    body = data[offset + HEADER_BYTES : offset + HEADER_BYTES + size]
    if len(body) < size or zlib.crc32(body) != checksum:
        return None, offset
    return body, offset + HEADER_BYTES + size + 1


def parse(*, data: bytes) -> tuple[list[dict[str, Any]], int]:
    """The valid records and the byte offset of their end. Raises RecordLogDamaged."""
    records, ends = _scan(data=data)
    return records, ends[-1] if ends else 0


def _scan(*, data: bytes) -> tuple[list[dict[str, Any]], list[int]]:
    """The records, and for each the end of its line. An invalid last line is a torn write and is ignored; an invalid
    line with a valid one after it is corruption and raises RecordLogDamaged."""
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
        batch = record.get(BATCH_KEY, [record])
        records.extend(batch)
        ends.extend([end] * len(batch))
        offset = end
    return records, ends


class RecordLog:
    """Records on disk. Invariants: `size_bytes` is the end of the last synced record; the next append truncates
    anything beyond it. `rewritten_bytes` is the part of it that the last rewrite left. `pending_rewrite` is the
    content that a failed rewrite may have left in the file; nothing is written before that is resolved."""

    def __init__(self, *, host: Host, folder: DataFolder, name: str) -> None:
        self.host = host
        self.folder = folder
        self.name = name
        self.size_bytes = 0
        self.rewritten_bytes = 0
        self.line_ends: list[int] = []
        self.pending_rewrite: bytes | None = None

    def load(self) -> list[dict[str, Any]] | None:
        """Reads the file and syncs it; None if there is no file. Raises RecordLogDamaged."""
        data = self.folder.read(name=self.name)
        if data is None:
            return None
        try:
            records, self.line_ends = _scan(data=data)
        except RecordLogDamaged as error:
            self.host.log(LogEvent.RECORD_LOG_CORRUPT, file=self.name, offset=error.args[0])
            raise
        self.size_bytes = self.line_ends[-1] if self.line_ends else 0
        self.rewritten_bytes = self.size_bytes
        # A killed process may have written these records without syncing them: they count only once synced.
        self.folder.make_durable(name=self.name, size=self.size_bytes)
        if self.size_bytes < len(data):
            self.host.log(LogEvent.TORN_RECORD_REMOVED, file=self.name, lostBytes=len(data) - self.size_bytes)
        return records

    def mark_rewritten(self, *, records: int) -> None:
        """Marks the first `records` of the loaded records as left by the last rewrite; the rest was appended since."""
        self.rewritten_bytes = self.line_ends[records - 1]

    def append(self, *, records: list[dict[str, Any]]) -> None:
        """Appends and syncs records.

        After AppendOutcomeUnknown the next start may find them or not. After any other OSError none of them counts,
        now or at the next start: whatever was written of them has been truncated and synced.
        """
        self._resolve_pending_rewrite()
        data = encode_batch(records=records)
        try:
            self.folder.append(name=self.name, data=data, offset=self.size_bytes)
        except OSError as error:
            try:
                self.folder.truncate(name=self.name, offset=self.size_bytes)
            except OSError:
                raise AppendOutcomeUnknown(*error.args) from None
            raise
        self.size_bytes += len(data)

    def _resolve_pending_rewrite(self) -> None:
        """Determines which content a failed rewrite left in the file, and syncs it. After an OSError the rewrite stays
        pending."""
        if self.pending_rewrite is None:
            return
        if self.folder.read(name=self.name) == self.pending_rewrite:
            self.size_bytes = self.rewritten_bytes = len(self.pending_rewrite)
        self.folder.make_durable(name=self.name, size=self.size_bytes)
        self.pending_rewrite = None

    def rewrite(self, *, records: Iterable[dict[str, Any]]) -> None:
        """Replaces the log's content. Other tasks run between the records, so that a long log does not delay the
        renewal of a lease."""
        lines = []
        since_yield_bytes = 0
        for record in records:
            lines.append(encode_record(record=record))
            since_yield_bytes += len(lines[-1])
            if since_yield_bytes > YIELD_INTERVAL_BYTES:
                self.host.sleep(wait=timedelta())
                since_yield_bytes = 0
        data = b"".join(lines)
        self.pending_rewrite = data
        self.folder.replace(name=self.name, data=data)
        self.pending_rewrite = None
        self.host.log(LogEvent.RECORD_LOG_REWRITTEN, file=self.name, beforeBytes=self.size_bytes, afterBytes=len(data))
        self.size_bytes = len(data)
        self.rewritten_bytes = len(data)
