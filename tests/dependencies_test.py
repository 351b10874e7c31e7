"""Dependency folders that were copied from another machine."""

import platform
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def copy_of_deploy(*, folder: Path) -> Path:
    shutil.copytree(ROOT / "deploy", folder / "deploy")
    (folder / "target" / "deps").mkdir(parents=True)
    return folder / "target" / "deps"


def check(*, folder: Path, note: bool = False) -> int:
    arguments = ["--note"] if note else []
    return subprocess.run([sys.executable, "deploy/dependencies.py", *arguments], cwd=folder).returncode


def test_dependencies_built_on_this_machine_are_kept_and_others_removed(tmp_path):
    """Guards against packages compiled for another processor or Python version, which fail to load."""
    deps = copy_of_deploy(folder=tmp_path)
    assert check(folder=tmp_path) == 1 and not deps.exists(), "without a stamp"
    deps.mkdir()
    assert check(folder=tmp_path, note=True) == 0 and check(folder=tmp_path) == 0 and deps.exists()
    stamp = deps / "built-for"
    stamp.write_text(stamp.read_text().replace(platform.machine(), "another-processor"))
    assert check(folder=tmp_path) == 1 and not deps.exists()


def test_dependencies_of_changed_requirements_are_removed(tmp_path):
    deps = copy_of_deploy(folder=tmp_path)
    assert check(folder=tmp_path, note=True) == 0
    with open(tmp_path / "deploy" / "requirements.txt", "a") as file:
        file.write("# more\n")
    assert check(folder=tmp_path) == 1 and not deps.exists()


def test_the_build_command_runs_the_check():
    build = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    assert build.startswith("python3 deploy/dependencies.py || {")
    assert "python3 deploy/dependencies.py --note" in build
