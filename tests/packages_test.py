"""`deploy/system.toml` lists exactly the Debian packages that its build command and programs need."""

import re
import shlex
import tomllib
from importlib import metadata
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
BASE = ""
"""Stands for the packages of every Debian system: the essential ones and their dependencies."""
PACKAGE_OF_PROGRAM = {
    "[": BASE,
    "touch": BASE,
    "python3": "python3",
    "python3 -m pip": "python3-pip",
}
DOWNLOAD_PACKAGES = frozenset({"ca-certificates"})
"""Needed by pip to reach a registry over TLS."""
C_LIBRARY_FILES = (
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
"""The libraries in libc6 of Debian 12, by the `shlibs` files of its amd64 and arm64 packages; libmvec: amd64 only."""
LOADERS = ("ld-linux-x86-64.so.2", "ld-linux-aarch64.so.1")
"""The dynamic loaders in the same `shlibs` files, of amd64 and arm64."""
PACKAGE_OF_LIBRARY = {
    **dict.fromkeys(C_LIBRARY_FILES, BASE),
    **dict.fromkeys(LOADERS, BASE),
    "libgcc_s.so.1": BASE,
    "libstdc++.so.6": "libstdc++6",
}
SEPARATORS = frozenset({"||", "&&", ";", "|", "{", "}", "(", ")"})
NEEDED_LIBRARY = re.compile(rb"\0((?:lib|ld-linux)[\w+.-]*\.so\.\d+)(?=\0)")


class UnknownLibrary(AssertionError):
    """A compiled dependency needs a library whose package this test does not know."""


def _system() -> dict:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def _words(*, command: str) -> list[str]:
    """Splits a command into words and separators as a shell does."""
    lexer = shlex.shlex(command, posix=True, punctuation_chars="();|&")
    lexer.whitespace_split = True
    return list(lexer)


def _programs(*, command: str) -> set[str]:
    """The programs that a shell command runs; a module run by Python is named with its `-m`."""
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
    """The shared libraries needed by the compiled modules of the deployed packages, as installed here."""
    package_names = re.findall(r"^([\w.-]+)==", (ROOT / "deploy" / "requirements.txt").read_text(), re.MULTILINE)
    libraries: set[str] = set()
    for package_name in package_names:
        for file in metadata.files(package_name) or []:
            if ".so" in file.suffixes and "tests" not in file.parts:
                libraries |= {name.decode() for name in NEEDED_LIBRARY.findall(Path(file.locate()).read_bytes())}
    return libraries


def _package_of(*, library: str) -> str:
    """The Debian package of a shared library. Raises UnknownLibrary if it is not in the table."""
    if library not in PACKAGE_OF_LIBRARY:
        raise UnknownLibrary(
            f"{library} is needed by a compiled dependency and not listed in {Path(__file__).name}: "
            f"look up its package (dpkg -S {library}) and add it"
        )
    return PACKAGE_OF_LIBRARY[library]


def _needed() -> set[str]:
    system = _system()
    commands = [system["build"], *(role["run"] for role in system["roles"].values())]
    programs = {program for command in commands for program in _programs(command=command)}
    packages = {PACKAGE_OF_PROGRAM[program] for program in programs}
    packages |= {_package_of(library=library) for library in _compiled_libraries()}
    if "python3 -m pip" in programs:
        packages |= DOWNLOAD_PACKAGES
    return packages - {BASE}


def test_the_programs_of_a_command_are_found():
    assert _programs(command="[ a -nt b ] || { python3 -m pip install x && touch a; }") == {
        "[",
        "python3",
        "python3 -m pip",
        "touch",
    }
    assert _programs(command="python3 platform/core.py") == {"python3"}


def test_the_listed_packages_are_those_needed_to_build_and_run():
    assert _system()["packages"] == sorted(_needed())


def test_compiled_dependencies_are_found():
    assert "libstdc++.so.6" in _compiled_libraries()


def test_an_unknown_library_is_named_in_the_error():
    with pytest.raises(UnknownLibrary, match=r"libssl\.so\.3 is needed .*dpkg -S libssl"):
        _package_of(library="libssl.so.3")


def test_the_table_covers_the_c_library_of_this_machine():
    """If Debian's own list of the C library's files is installed, the table has all of them."""
    lists = sorted(Path("/var/lib/dpkg/info").glob("libc6*.shlibs"))
    for path in lists:
        fields_by_line = [line.split() for line in path.read_text().splitlines() if not line.startswith("udeb:")]
        named = {f"{name}.so.{version}" for name, version, *_ in fields_by_line}
        assert named <= PACKAGE_OF_LIBRARY.keys(), f"{path}: {sorted(named - PACKAGE_OF_LIBRARY.keys())}"
