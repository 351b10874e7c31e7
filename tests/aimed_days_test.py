"""The days that `tools/aimed_days.py` writes: repeatable, and only of kinds that the bench knows."""

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tools.hunting import aims, site_file
from tools.hunting.day import Kind
from tools.hunting.toml_writer import dumps

ROOT = Path(__file__).resolve().parent.parent
TOOL = ROOT / "tools" / "aimed_days.py"
SITE = """
name = "made-up"
length_s = 30.0
zones = [{ name = "north", region = "r" }, { name = "south", region = "r" }]
machines = [
  { class = "front", zone = "north", count = 2, spare = 1 },
  { class = "core", zone = "north", count = 2, spare = 1, disk = { mb = 8 } },
  { class = "core", zone = "south", count = 1, spare = 1, disk = { mb = 8 } },
]
traffic = [{ zone = "north", mix = { note = 1.5 }, per_s = 10.0 }]
troubles = [{ kind = "disk_full", count = 1, for_s = 4.5 }, { kind = "not_known_here" }]

[tolerate]
machines = 1

[[day]]
name = "own"
seed = 1
"""
LISTED_BY_THE_BENCH = frozenset(
    {
        "ack_lost",
        "after_ack_kill",
        "after_ack_wipe",
        "answer_lost",
        "bad_config",
        "burst",
        "clock_step",
        "config_change",
        "config_race",
        "config_storm",
        "core_cut",
        "disk_full",
        "disk_slow",
        "disk_stall",
        "garble",
        "handle_short",
        "herd_kill",
        "hup",
        "kv_slow",
        "node_cut",
        "node_freeze",
        "node_kill",
        "node_slow",
        "release",
        "replace_core",
        "replace_with_reuse",
        "reset_conns",
        "retry_abuse",
        "roll_term",
        "scale_in",
        "scale_out",
        "seed_turnover",
        "srv_crash",
        "srv_grey",
        "srv_slow",
    }
)
"""The kinds that `fleetbench kinds` names for either of the small deployments."""


@pytest.fixture
def site(tmp_path: Path) -> Path:
    path = tmp_path / "made-up.toml"
    path.write_text(SITE)
    return path


def _run(*, site: Path, out: Path, options: tuple[str, ...]) -> dict[str, bytes]:
    command = [sys.executable, str(TOOL), str(site), "--out", str(out), *options]
    subprocess.run(command, check=True, capture_output=True)
    return {path.name: path.read_bytes() for path in out.iterdir()}


def _entries(*, content: bytes) -> list[dict]:
    day = tomllib.loads(content.decode())["day"][0]
    return day["plan"] + day["faults"]


def test_the_same_seed_gives_the_same_files_and_another_seed_others(*, site: Path, tmp_path: Path):
    options = ("--count", "2", "--variants", "--load", "0.5", "--seed")
    first = _run(site=site, out=tmp_path / "first", options=(*options, "7"))
    again = _run(site=site, out=tmp_path / "again", options=(*options, "7"))
    other = _run(site=site, out=tmp_path / "other", options=(*options, "8"))
    assert first == again
    days = {name.replace("-7-", "-8-"): content for name, content in first.items() if "-7-" in name}
    assert len(days) == 2 * len(aims.Aim)
    assert all(other[name].partition(b"seed")[2] != content.partition(b"seed")[2] for name, content in days.items())


def test_a_day_does_not_depend_on_how_many_are_written(*, site: Path, tmp_path: Path):
    many = _run(site=site, out=tmp_path / "many", options=("--seed", "3", "--count", "3"))
    last = _run(site=site, out=tmp_path / "last", options=("--seed", "3", "--first", "2", "--aim", "log"))
    assert last.items() <= many.items() and len(last) == 1


def test_only_kinds_that_the_bench_knows_are_drawn(*, site: Path, tmp_path: Path):
    files = _run(site=site, out=tmp_path / "out", options=("--seed", "5", "--count", "5"))
    drawn = {entry["kind"] for content in files.values() for entry in _entries(content=content)}
    assert drawn <= LISTED_BY_THE_BENCH
    assert set(Kind) == LISTED_BY_THE_BENCH == drawn


def test_kinds_that_a_deployment_does_not_know_are_left_out(*, site: Path, tmp_path: Path):
    listing = tmp_path / "kinds.txt"
    listing.write_text(
        "Each entry has 'at' and 'kind'. for_s: how long (5).\n\nconfig_race: pairs\nnode_kill: SIGKILL\n"
    )
    assert site_file.read_kinds(listing) == {Kind.CONFIG_RACE, Kind.NODE_KILL}
    files = _run(site=site, out=tmp_path / "out", options=("--seed", "5", "--count", "3", "--kinds", str(listing)))
    drawn = {entry["kind"] for content in files.values() for entry in _entries(content=content)}
    assert drawn == {"config_race", "node_kill"}


def test_every_trouble_lies_within_its_day_and_changes_run_into_the_hundreds(*, site: Path, tmp_path: Path):
    files = _run(site=site, out=tmp_path / "out", options=("--seed", "1", "--aim", "log", "--seconds", "150"))
    (content,) = files.values()
    entries = _entries(content=content)
    assert all(0 <= entry["at"] < 150 for entry in entries)
    storms = [entry for entry in entries if entry["kind"] == "config_storm"]
    assert sum(storm["for_s"] / storm["gap_s"] for storm in storms) > 200


@pytest.mark.parametrize("tolerated", [1, 2])
def test_a_loss_takes_up_to_as_many_machines_as_may_be_lost(*, site: Path, tmp_path: Path, tolerated: int):
    site.write_text(SITE.replace("machines = 1", f"machines = {tolerated}"))
    files = _run(site=site, out=tmp_path / "out", options=("--seed", "2", "--aim", "cut", "--count", "4"))
    entries = [entry for content in files.values() for entry in _entries(content=content)]
    assert {entry["count"] for entry in entries if entry["kind"] == "core_cut"} == set(range(1, tolerated + 1))


@pytest.mark.parametrize(("core_machines", "tolerated"), [(3, 1), (5, 1), (5, 2), (7, 1), (7, 2)])
def test_a_variant_has_so_many_counted_machines_and_is_else_the_same(
    *, site: Path, tmp_path: Path, core_machines: int, tolerated: int
):
    read = site_file.read(site)
    path = site_file.write_variant(site=read, core_machines=core_machines, tolerated=tolerated, folder=tmp_path)
    variant = tomllib.loads(path.read_text())
    assert sum(entry["count"] for entry in variant["machines"] if entry["class"] == "core") == core_machines
    assert variant["tolerate"]["machines"] == tolerated
    differing = {name for name in variant if variant[name] != read.content[name]}
    assert differing - {"machines"} <= {"name", "tolerate"}


def test_what_is_written_is_read_back_as_it_was():
    table = {
        "text": 'a "quoted"\\ line\n',
        "number": 1,
        "share": 0.25,
        "yes": True,
        "odd key": [],
        "inner": {"a": [1, {}]},
    }
    day = {"entries": [{"at": 1.5}, {"at": 2.0, "where": {"zone": "north"}}]}
    assert tomllib.loads(dumps({**table, "day": [day]}, sections=("day",))) == {**table, "day": [day]}
