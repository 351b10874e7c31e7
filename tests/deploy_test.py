"""The deployed dependencies match the project's lock file."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def _pins(*, path: Path) -> dict[str, tuple[str, frozenset[str]]]:
    """The pinned version and hashes of each package."""
    pins: dict[str, tuple[str, frozenset[str]]] = {}
    for block in path.read_text().replace("\\\n", " ").splitlines():
        line = block.partition("#")[0].strip()
        if not line:
            continue
        named, *rest = line.split()
        name, _, version = named.partition("==")
        assert version, line
        pins[name.lower()] = (version, frozenset(word for word in rest if word.startswith("--hash=sha256:")))
    return pins


def test_the_deployed_versions_and_hashes_are_the_locked_ones():
    locked, deployed = _pins(path=ROOT / "requirements.lock"), _pins(path=ROOT / "deploy" / "requirements.txt")
    assert deployed and all(hashes for _, hashes in deployed.values())
    assert {name: pin for name, pin in deployed.items() if locked.get(name) != pin} == {}


def test_all_dependencies_of_the_project_are_deployed():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    deployed = _pins(path=ROOT / "deploy" / "requirements.txt")
    assert {name.lower() for name in project["dependencies"]} <= set(deployed)


def test_the_program_of_each_role_exists():
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    for role in roles.values():
        assert (ROOT / role["run"].split(" ")[1]).is_file()
