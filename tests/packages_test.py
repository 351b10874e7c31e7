"""`deploy/system.toml` lists the Debian packages that its build and its programs need, no more and no less."""

import re
import shlex
import tomllib
from importlib import metadata
from pathlib import Path

import pytest

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
PARTS_OF_THE_C_LIBRARY = (
    "libBrokenLocale.so.1",
    "libanl.so.1",
    "libc.so.6",
    "libc_malloc_debug.so.0",
    "libdl.so.2",
    "libm.so.6",
    "libmvec.so.1",
    "libnsl.so.1",
    "libnss_compat.so.2",
    "libnss_dns.so.2",
    "libnss_files.so.2",
    "libnss_hesiod.so.2",
    "libpthread.so.0",
    "libresolv.so.2",
    "librt.so.1",
    "libthread_db.so.1",
    "libutil.so.1",
)
"""What libc6 of Debian 12 holds, by the `shlibs` files of its amd64 and arm64 packages; libmvec is on amd64 only."""
LOADERS = ("ld-linux-x86-64.so.2", "ld-linux-aarch64.so.1")
"""The same files' program loaders, of amd64 and arm64."""
PACKAGE_OF_LIBRARY = {
    **dict.fromkeys(PARTS_OF_THE_C_LIBRARY, BASE),
    **dict.fromkeys(LOADERS, BASE),
    "libgcc_s.so.1": BASE,
    "libstdc++.so.6": "libstdc++6",
}
SEPARATORS = frozenset({"||", "&&", ";", "|", "{", "}", "(", ")"})
NEEDED_LIBRARY = re.compile(rb"\0((?:lib|ld-linux)[\w+.-]*\.so\.\d+)(?=\0)")


class UnknownLibrary(AssertionError):
    """A compiled dependency names a library of which this test does not know the package."""


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


def _package_of(*, library: str) -> str:
    """The Debian package of a shared library; UnknownLibrary for one that is not in the table."""
    if library not in PACKAGE_OF_LIBRARY:
        raise UnknownLibrary(
            f"{library} is named by a compiled dependency and stands in no table of {Path(__file__).name}: "
            f"look up its package (dpkg -S {library}) and enter it"
        )
    return PACKAGE_OF_LIBRARY[library]


def _needed() -> set[str]:
    system = _system()
    commands = [system["build"], *(role["run"] for role in system["roles"].values())]
    programs = {program for command in commands for program in _programs(command=command)}
    packages = {PACKAGE_OF_PROGRAM[program] for program in programs}
    packages |= {_package_of(library=library) for library in _compiled_libraries()}
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


def test_a_library_that_no_table_knows_is_named_in_the_failure():
    with pytest.raises(UnknownLibrary, match=r"libssl\.so\.3 is named .*dpkg -S libssl"):
        _package_of(library="libssl.so.3")


def test_the_machine_that_runs_this_has_its_c_library_in_the_table():
    """Where Debian's own list of the C library's parts is at hand, the table has all of them."""
    lists = sorted(Path("/var/lib/dpkg/info").glob("libc6*.shlibs"))
    for path in lists:
        rows = [line.split() for line in path.read_text().splitlines() if not line.startswith("udeb:")]
        named = {f"{name}.so.{version}" for name, version, *_ in rows}
        assert named <= PACKAGE_OF_LIBRARY.keys(), f"{path}: {sorted(named - PACKAGE_OF_LIBRARY.keys())}"
