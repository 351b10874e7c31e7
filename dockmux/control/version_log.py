"""A compact log of accepted configuration versions, so that a configuration that is sent again is recognized."""

import base64
import dataclasses
import hashlib
import json
import struct
from typing import Any

from pyrsistent import PVector, pvector

DIGEST_BYTES = 8
_RECORD = struct.Struct(f">Q{DIGEST_BYTES}s")
# Records per block; a full block is never changed again.
BLOCK_RECORDS = 4096
# At 1,700 changes a day this covers more than a year and a half, in 16 MB.
MAX_RECORDS = 1_000_000


def digest_of(*, tree: Any) -> bytes:
    """The digest by which configurations are compared, independent of key order."""
    packed = json.dumps(tree, sort_keys=True, separators=(",", ":")).encode()
    return hashlib.blake2b(packed, digest_size=DIGEST_BYTES).digest()


@dataclasses.dataclass(frozen=True, kw_only=True)
class AcceptedVersion:
    """An accepted version: its number and the digest of its configuration."""

    number: int
    digest: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionLog:
    """Accepted versions in the order of their numbers, which is the order in which they were accepted.

    Invariants: numbers increase; each version is based on the one before it; every accepted version above
    `forgotten_upto` is in the log; a log is immutable, so that copies share their blocks.
    """

    blocks: PVector = dataclasses.field(default_factory=pvector)
    tail: bytes = b""
    forgotten_upto: int = 0

    def __len__(self) -> int:
        return len(self.blocks) * BLOCK_RECORDS + len(self.tail) // _RECORD.size

    def __getitem__(self, index: int) -> AcceptedVersion:
        block, offset = divmod(index, BLOCK_RECORDS)
        data = self.blocks[block] if block < len(self.blocks) else self.tail
        number, digest = _RECORD.unpack_from(data, offset * _RECORD.size)
        return AcceptedVersion(number=number, digest=digest)

    @property
    def last_number(self) -> int:
        return self[len(self) - 1].number if len(self) else self.forgotten_upto

    def append(self, *, number: int, digest: bytes) -> "VersionLog":
        """A log with one more version. A number that does not increase breaks the order: all earlier versions, and
        it, are forgotten."""
        if number <= self.last_number:
            return VersionLog(forgotten_upto=self.last_number)
        tail = self.tail + _RECORD.pack(number, digest)
        if len(tail) < BLOCK_RECORDS * _RECORD.size:
            return dataclasses.replace(self, tail=tail)
        blocks = self.blocks.append(tail)
        if len(blocks) * BLOCK_RECORDS <= MAX_RECORDS:
            return dataclasses.replace(self, blocks=blocks, tail=b"")
        forgotten_upto, _ = _RECORD.unpack_from(blocks[0], (BLOCK_RECORDS - 1) * _RECORD.size)
        return VersionLog(blocks=blocks[1:], tail=b"", forgotten_upto=forgotten_upto)

    def find(self, *, number: int) -> int | None:
        """The index of a version in the log; None if it is not in it."""
        low, high = 0, len(self)
        while low < high:
            middle = (low + high) // 2
            if self[middle].number < number:
                low = middle + 1
            else:
                high = middle
        return low if low < len(self) and self[low].number == number else None

    def lookup(self, *, number: int) -> AcceptedVersion | None:
        """The version accepted under this number."""
        index = self.find(number=number)
        return None if index is None else self[index]

    def successor_of(self, *, number: int) -> AcceptedVersion | None:
        """The version accepted on top of this one."""
        if number == self.forgotten_upto:
            following = 0
        else:
            index = self.find(number=number)
            if index is None:
                return None
            following = index + 1
        return self[following] if following < len(self) else None

    # Snapshots have one row per block, the incomplete block last.

    def rows(self) -> int:
        return len(self.blocks) + 1

    def row(self, *, index: int) -> str:
        data = self.blocks[index] if index < len(self.blocks) else self.tail
        return base64.b64encode(data).decode()

    def with_row(self, *, row: str) -> "VersionLog":
        """A log with the records of the next row of another log."""
        data = base64.b64decode(row)
        if len(data) == BLOCK_RECORDS * _RECORD.size:
            return dataclasses.replace(self, blocks=self.blocks.append(data))
        return dataclasses.replace(self, tail=data)
