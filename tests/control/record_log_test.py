"""The append-only file: torn writes, damage, and what a killed process left unsynced."""

import random
from datetime import timedelta
from typing import Any

from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.record_log import RecordLog, RecordLogDamaged, encode_batch, encode_record, parse


def test_every_prefix_of_a_file_gives_the_whole_records_before_it():
    records = [{"n": n, "text": "x\\n" * n} for n in range(5)]
    lines = [encode_record(record=record) for record in records]
    data = b"".join(lines)
    ends = [sum(map(len, lines[:n])) for n in range(6)]
    for cut in range(len(data) + 1):
        whole = sum(1 for end in ends[1:] if end <= cut)
        assert parse(data=data[:cut]) == (records[:whole], ends[whole])


def test_damage_in_the_middle_is_not_read_past():
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


def test_records_that_were_written_at_once_are_lost_at_once():
    """A torn write may lose any of its parts: no record of it is then damage in the middle of the file."""
    first = encode_record(record={"n": 0})
    batch = encode_batch(records=[{"n": n, "text": "x" * 50} for n in range(1, 6)])
    whole = first + batch
    assert parse(data=whole)[0][-1]["n"] == 5
    for place in range(len(first), len(whole) - 1, 7):
        torn = whole[:place] + bytes(min(7, len(whole) - place)) + whole[place + 7 :]
        assert parse(data=torn) == ([{"n": 0}], len(first)), place


class _NoHost(Host):
    """A host without a machine."""

    def __init__(self) -> None:
        self.random = random.Random(1)

    def log(self, log_event: LogEvent, **fields: Any) -> None:
        return

    def sleep(self, *, wait: timedelta) -> None:
        return


class _CachedFolder:
    """A folder with a page cache. Invariant: `durable` is what a loss of power leaves, `files` what is read now."""

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


def test_what_a_killed_process_left_in_the_cache_counts_only_once_it_is_synced():
    synced = encode_record(record={"n": 0})
    folder = _CachedFolder(files={"log": synced})
    folder.files["log"] += encode_record(record={"n": 1})  # Written, and the process was killed before its sync.
    found = RecordLog(host=_NoHost(), folder=folder, name="log").load()
    after_power_loss, _ = parse(data=folder.durable["log"])
    assert found == after_power_loss == [{"n": 0}, {"n": 1}]


def test_damage_is_reported_and_nothing_is_cut_off():
    whole = encode_record(record={"n": 0}) + encode_record(record={"n": 1})
    folder = _CachedFolder(files={"log": b"x" + whole[1:]})
    try:
        RecordLog(host=_NoHost(), folder=folder, name="log").load()
    except RecordLogDamaged:
        assert folder.files["log"] == b"x" + whole[1:]
        return
    raise AssertionError
