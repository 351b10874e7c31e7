"""The append-only record log: torn writes, damage, and records that a killed process left unsynced."""

import random
from datetime import timedelta
from typing import Any

from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.record_log import RecordLog, RecordLogDamaged, encode_batch, encode_record, parse


def test_every_prefix_of_a_file_yields_its_complete_records():
    records = [{"n": n, "text": "x\\n" * n} for n in range(5)]
    lines = [encode_record(record=record) for record in records]
    data = b"".join(lines)
    ends = [sum(map(len, lines[:n])) for n in range(6)]
    for cut in range(len(data) + 1):
        whole = sum(1 for end in ends[1:] if end <= cut)
        assert parse(data=data[:cut]) == (records[:whole], ends[whole])


def test_damage_in_the_middle_is_reported_at_its_offset():
    lines = [encode_record(record={"n": n}) for n in range(3)]
    for place in range(len(lines[0]), len(lines[0]) + len(lines[1])):
        data = bytearray(b"".join(lines))
        data[place] ^= 0x01
        try:
            parse(data=bytes(data))
        except RecordLogDamaged as damage:
            assert damage.args[0] == len(lines[0])
            continue
        raise AssertionError(place)


def test_a_torn_batch_is_lost_as_a_whole():
    """A torn write may lose any part of a batch. The whole batch must then be dropped, not reported as damage in the
    middle of the file."""
    first = encode_record(record={"n": 0})
    batch = encode_batch(records=[{"n": n, "text": "x" * 50} for n in range(1, 6)])
    whole = first + batch
    assert parse(data=whole)[0][-1]["n"] == 5
    for place in range(len(first), len(whole) - 1, 7):
        torn = whole[:place] + bytes(min(7, len(whole) - place)) + whole[place + 7 :]
        assert parse(data=torn) == ([{"n": 0}], len(first)), place


class _NullHost(Host):
    """A host that does nothing."""

    def __init__(self) -> None:
        self.random = random.Random(1)

    def log(self, log_event: LogEvent, **fields: Any) -> None:
        return

    def sleep(self, *, wait: timedelta) -> None:
        return


class _CachedFolder:
    """A folder with a page cache. Invariant: `durable` is what survives a power loss, `files` what is read now."""

    def __init__(self, *, files: dict[str, bytes]) -> None:
        self.files = dict(files)
        self.durable = dict(files)

    def read(self, *, name: str) -> bytes | None:
        return self.files.get(name)

    def append(self, *, name: str, data: bytes, offset: int) -> None:
        self.files[name] = self.files[name][:offset] + data
        self.durable[name] = self.files[name]

    def make_durable(self, *, name: str, size: int) -> None:
        self.append(name=name, data=b"", offset=size)


def test_records_left_unsynced_by_a_killed_process_are_synced_on_load():
    synced = encode_record(record={"n": 0})
    folder = _CachedFolder(files={"log": synced})
    folder.files["log"] += encode_record(record={"n": 1})  # Written by a process that was killed before the sync.
    found = RecordLog(host=_NullHost(), folder=folder, name="log").load()
    after_power_loss, _ = parse(data=folder.durable["log"])
    assert found == after_power_loss == [{"n": 0}, {"n": 1}]


def test_damage_is_reported_and_nothing_is_truncated():
    whole = encode_record(record={"n": 0}) + encode_record(record={"n": 1})
    folder = _CachedFolder(files={"log": b"x" + whole[1:]})
    try:
        RecordLog(host=_NullHost(), folder=folder, name="log").load()
    except RecordLogDamaged:
        assert folder.files["log"] == b"x" + whole[1:]
        return
    raise AssertionError
