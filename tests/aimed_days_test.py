"""Tests `tools/aimed_days.py`: its output is reproducible and uses only kinds that the bench supports."""

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tools.day_generator import aims, site_file
from tools.day_generator.day import Kind
from tools.day_generator.toml_writer import format_toml

ROOT = Path(__file__).resolve().parent.parent
AIMED_DAYS = ROOT / "tools" / "aimed_days.py"
SITE_TOML = """
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
BENCH_KINDS = frozenset(
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
"""The kinds that `fleetbench kinds` lists for the two small deployments together."""


@pytest.fixture
def site(tmp_path: Path) -> Path:
    path = tmp_path / "made-up.toml"
    path.write_text(SITE_TOML)
    return path


def _generate_files(*, site: Path, out: Path, options: tuple[str, ...]) -> dict[str, bytes]:
    command = [sys.executable, str(AIMED_DAYS), str(site), "--out", str(out), *options]
    subprocess.run(command, check=True, capture_output=True)
    return {path.name: path.read_bytes() for path in out.iterdir()}


def _read_events(*, content: bytes) -> list[dict]:
    day = tomllib.loads(content.decode())["day"][0]
    return day["plan"] + day["faults"]


def test_the_same_seed_reproduces_the_files_and_another_changes_them(*, site: Path, tmp_path: Path):
    options = ("--count", "2", "--variants", "--load", "0.5", "--seed")
    first = _generate_files(site=site, out=tmp_path / "first", options=(*options, "7"))
    again = _generate_files(site=site, out=tmp_path / "again", options=(*options, "7"))
    other = _generate_files(site=site, out=tmp_path / "other", options=(*options, "8"))
    assert first == again
    days = {name.replace("-7-", "-8-"): content for name, content in first.items() if "-7-" in name}
    assert len(days) == 2 * len(aims.Aim)
    assert all(other[name].partition(b"seed")[2] != content.partition(b"seed")[2] for name, content in days.items())


def test_a_day_is_independent_of_the_other_days_generated(*, site: Path, tmp_path: Path):
    all_days = _generate_files(site=site, out=tmp_path / "many", options=("--seed", "3", "--count", "3"))
    last_day = _generate_files(
        site=site, out=tmp_path / "last", options=("--seed", "3", "--first", "2", "--aim", "log")
    )
    assert last_day.items() <= all_days.items() and len(last_day) == 1


def test_all_and_only_supported_kinds_are_generated(*, site: Path, tmp_path: Path):
    files = _generate_files(site=site, out=tmp_path / "out", options=("--seed", "5", "--count", "5"))
    generated_kinds = {entry["kind"] for content in files.values() for entry in _read_events(content=content)}
    assert generated_kinds <= BENCH_KINDS
    assert set(Kind) == BENCH_KINDS == generated_kinds


def test_kinds_missing_from_the_kinds_file_are_omitted(*, site: Path, tmp_path: Path):
    kinds_file = tmp_path / "kinds.txt"
    kinds_file.write_text(
        "Each entry has 'at' and 'kind'. for_s: how long (5).\n\nconfig_race: pairs\nnode_kill: SIGKILL\n"
    )
    assert site_file.read_kinds(kinds_file) == {Kind.CONFIG_RACE, Kind.NODE_KILL}
    files = _generate_files(
        site=site, out=tmp_path / "out", options=("--seed", "5", "--count", "3", "--kinds", str(kinds_file))
    )
    generated_kinds = {entry["kind"] for content in files.values() for entry in _read_events(content=content)}
    assert generated_kinds == {"config_race", "node_kill"}


def test_events_lie_within_the_day_and_log_days_have_hundreds_of_changes(*, site: Path, tmp_path: Path):
    files = _generate_files(
        site=site, out=tmp_path / "out", options=("--seed", "1", "--aim", "log", "--seconds", "150")
    )
    (content,) = files.values()
    events = _read_events(content=content)
    assert all(0 <= entry["at"] < 150 for entry in events)
    storms = [entry for entry in events if entry["kind"] == "config_storm"]
    assert sum(storm["for_s"] / storm["gap_s"] for storm in storms) > 200


@pytest.mark.parametrize("tolerated", [1, 2])
def test_partitions_affect_from_one_to_the_tolerated_number_of_machines(*, site: Path, tmp_path: Path, tolerated: int):
    site.write_text(SITE_TOML.replace("machines = 1", f"machines = {tolerated}"))
    files = _generate_files(site=site, out=tmp_path / "out", options=("--seed", "2", "--aim", "cut", "--count", "4"))
    events = [entry for content in files.values() for entry in _read_events(content=content)]
    assert {entry["count"] for entry in events if entry["kind"] == "core_cut"} == set(range(1, tolerated + 1))


@pytest.mark.parametrize(("core_machines", "tolerated"), [(3, 1), (5, 1), (5, 2), (7, 1), (7, 2)])
def test_a_variant_differs_only_in_its_control_plane_machines(
    *, site: Path, tmp_path: Path, core_machines: int, tolerated: int
):
    original = site_file.read_site(site)
    path = site_file.write_variant(site=original, core_machines=core_machines, tolerated=tolerated, folder=tmp_path)
    variant = tomllib.loads(path.read_text())
    assert sum(entry["count"] for entry in variant["machines"] if entry["class"] == "core") == core_machines
    assert variant["tolerate"]["machines"] == tolerated
    changed_keys = {name for name in variant if variant[name] != original.content[name]}
    assert changed_keys - {"machines"} <= {"name", "tolerate"}


def test_formatted_toml_parses_to_the_same_table():
    table = {
        "text": 'a "quoted"\\ line\n',
        "number": 1,
        "share": 0.25,
        "yes": True,
        "odd key": [],
        "inner": {"a": [1, {}]},
    }
    day = {"entries": [{"at": 1.5}, {"at": 2.0, "where": {"zone": "north"}}]}
    assert tomllib.loads(format_toml({**table, "day": [day]}, sections=("day",))) == {**table, "day": [day]}
