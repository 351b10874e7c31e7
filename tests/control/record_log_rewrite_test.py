"""A rewrite of a log that fails between its rename and the sync of the folder."""

import errno

import pytest

from dockmux.runtime.record_log import RecordLog
from tests.standins.still import StillHost


class HalfFailingFolder:
    """A folder in which a replacement reaches its name, and the sync of the folder then fails."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.fails = False

    def read(self, *, name: str) -> bytes | None:
        return self.files.get(name)

    def make_durable(self, *, name: str, size: int) -> None:
        self.files[name] = self.files[name][:size]

    def append(self, *, name: str, data: bytes, offset: int) -> None:
        kept = self.files[name]
        self.files[name] = kept[:offset].ljust(offset, b"\0") + data

    def replace(self, *, name: str, data: bytes) -> None:
        self.files[name] = data
        if self.fails:
            raise OSError(errno.EIO, "input/output error")

    truncate = make_durable


def test_a_rewrite_whose_folder_could_not_be_synced_leaves_no_gap():
    """Guards against a log that the next start finds damaged (exit 3)."""
    folder, host = HalfFailingFolder(), StillHost()
    log = RecordLog(host=host, folder=folder, name="log")
    log.rewrite(records=[{"n": number, "text": "x" * 50} for number in range(9)])
    folder.fails = True
    with pytest.raises(OSError):
        log.rewrite(records=[{"n": 8}])
    folder.fails = False
    log.append(records=[{"n": 9}])
    again = RecordLog(host=host, folder=folder, name="log")
    assert [record["n"] for record in again.load()][-1] == 9
