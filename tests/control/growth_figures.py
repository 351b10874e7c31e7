"""Measures a control daemon's storage after many changes: `python -m tests.control.growth_figures FOLDER COUNT...`.

For each count, so many changes with trees of 250 KB go through the real store in a real folder. Reports the sizes of
the file and of a snapshot, the longest rewrite, the restart time, and the time to encode, decode and apply a snapshot.
"""

import argparse
import json
import shutil
import time
from datetime import timedelta
from pathlib import Path
from typing import Any

from dockmux.control.replica_store import ReplicaStore
from dockmux.control.state import State
from dockmux.control.version_log import digest_of
from dockmux.runtime import codec
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import Entry, JoinReply

TREE_BYTES = 250_000
KEEP = timedelta(hours=24)


class _QuietHost(Host):
    """A real host that logs nothing."""

    def log(self, log_event: LogEvent, **fields: Any) -> None:
        return


def _open(*, folder: str) -> ReplicaStore:
    host = _QuietHost(name="figures", folder=folder)
    store = ReplicaStore(host=host, folder=host.folder, claim_retention=KEEP)
    store.open()
    return store


def _change(*, number: int) -> dict[str, Any]:
    tree = {"text": f"{number:08d}" + "x" * TREE_BYTES}
    digest = digest_of(tree=tree).hex()
    return {"kind": "config", "tree": tree, "activateUs": number, "version": number, "digest": digest}


def _fill(*, store: ReplicaStore, count: int) -> tuple[State, float]:
    """The state after `count` changes, and the longest rewrite in seconds."""
    state, longest = store.initial_state, 0.0
    for number in range(1, count + 1):
        change = _change(number=number)
        store.append(entries=[Entry(mark=number, change=change)])
        state.apply(mark=number, change=change)
        began = time.perf_counter()
        store.compact(state=state)
        longest = max(longest, time.perf_counter() - began)
    return state, longest


def _transfer_snapshot(*, state: State) -> tuple[int, float]:
    """The bytes and seconds of a snapshot transfer from one core to another, without the network."""
    began, size = time.perf_counter(), 0
    other = State(claim_retention=KEEP)
    for part in state.snapshot().all_parts():
        data = codec.encode(message=JoinReply(granted=True, mark=state.mark, entries=[], snapshot=part))
        size += len(data)
        other.restore(fields=codec.decode(data=data).snapshot)
    assert other.versions == state.versions and other.configs == state.configs
    return size, time.perf_counter() - began


def measure(*, folder: str, count: int) -> dict[str, float]:
    shutil.rmtree(folder, ignore_errors=True)
    state, longest = _fill(store=_open(folder=folder), count=count)
    file_size = (Path(folder) / "chain").stat().st_size
    began = time.perf_counter()
    again = _open(folder=folder)
    for entry in again.entries:
        again.initial_state.apply(mark=entry.mark, change=entry.change)
    restart = time.perf_counter() - began
    assert again.initial_state.versions == state.versions
    snapshot_size, transfer_time = _transfer_snapshot(state=state)
    shutil.rmtree(folder)
    return {
        "changes": count, "file_mb": file_size / 1e6, "snapshot_mb": snapshot_size / 1e6,
        "longest_rewrite_s": longest, "restart_s": restart, "hand_over_s": transfer_time,
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder")
    parser.add_argument("counts", type=int, nargs="+")
    parsed = parser.parse_args()
    for count in parsed.counts:
        print(json.dumps({key: round(value, 3) for key, value in measure(folder=parsed.folder, count=count).items()}))


if __name__ == "__main__":
    main()
