"""`deploy/system.toml` lists the Debian packages that its build and its programs need, no more and no less."""

import re
import shlex
import tomllib
from importlib import metadata
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BASE = ""
"""Stands for what every Debian system has: its essential packages and what these depend on."""
PACKAGE_OF_PROGRAM = {
    "[": BASE,
    "touch": BASE,
    "python3": "python3",
    "python3 -m pip": "python3-pip",
}
PACKAGES_OF_DOWNLOADS = frozenset({"ca-certificates"})
"""What pip needs to reach a registry over TLS."""
PACKAGE_OF_LIBRARY = {
    "libc.so.6": BASE,
    "libm.so.6": BASE,
    "libpthread.so.0": BASE,
    "libgcc_s.so.1": BASE,
    "libstdc++.so.6": "libstdc++6",
}
SEPARATORS = frozenset({"||", "&&", ";", "|", "{", "}", "(", ")"})
NEEDED_LIBRARY = re.compile(rb"\0(lib[\w+.-]*\.so\.\d+)(?=\0)")


def _system() -> dict:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def _words(*, command: str) -> list[str]:
    """The words of a command, its separators among them, as a shell splits them."""
    lexer = shlex.shlex(command, posix=True, punctuation_chars="();|&")
    lexer.whitespace_split = True
    return list(lexer)


def _programs(*, command: str) -> set[str]:
    """What a shell command calls; a module that Python runs stands with its `-m`."""
    programs = set()
    words = _words(command=command)
    for place, word in enumerate(words):
        starts = place == 0 or words[place - 1] in SEPARATORS
        if not starts or word in SEPARATORS:
            continue
        programs.add(word)
        if words[place + 1 : place + 2] == ["-m"]:
            programs.add(" ".join(words[place : place + 3]))
    return programs


def _compiled_libraries() -> set[str]:
    """The shared libraries that the installed compiled parts of the deployed packages name."""
    pins = re.findall(r"^([\w.-]+)==", (ROOT / "deploy" / "requirements.txt").read_text(), re.MULTILINE)
    libraries: set[str] = set()
    for pin in pins:
        for file in metadata.files(pin) or []:
            if ".so" in file.suffixes and "tests" not in file.parts:
                libraries |= {name.decode() for name in NEEDED_LIBRARY.findall(Path(file.locate()).read_bytes())}
    return libraries


def _needed() -> set[str]:
    system = _system()
    commands = [system["build"], *(role["run"] for role in system["roles"].values())]
    programs = {program for command in commands for program in _programs(command=command)}
    packages = {PACKAGE_OF_PROGRAM[program] for program in programs}
    packages |= {PACKAGE_OF_LIBRARY[library] for library in _compiled_libraries()}
    if "python3 -m pip" in programs:
        packages |= PACKAGES_OF_DOWNLOADS
    return packages - {BASE}


def test_the_programs_of_a_command_are_found():
    assert _programs(command="[ a -nt b ] || { python3 -m pip install x && touch a; }") == {
        "[",
        "python3",
        "python3 -m pip",
        "touch",
    }
    assert _programs(command="python3 platform/core.py") == {"python3"}


def test_the_listed_packages_are_those_that_build_and_run_need():
    assert _system()["packages"] == sorted(_needed())


def test_the_compiled_dependencies_are_seen():
    assert "libstdc++.so.6" in _compiled_libraries()
