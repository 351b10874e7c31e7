"""Parsing and matching of the entries in KNOWN-RED.txt."""

from tests.known_red import is_listed, listed

TEXT = """tests/a_test.py::test_one: `python -m pytest tests/a_test.py`. Fails. Issue 1
soak, GROWTH: `python -m tests.soak --seeds 10`. Grows. Issue 2
tests/b_test.py::test_two[64]: `python -m pytest tests/b_test.py`. Fails. Issue 1
"""


def test_only_entries_about_tests_are_listed():
    assert listed(text=TEXT) == ("tests/a_test.py::test_one", "tests/b_test.py::test_two[64]")


def test_an_entry_covers_one_parameter_set_or_the_whole_test():
    known = listed(text=TEXT)
    covered = ("tests/a_test.py::test_one", "tests/a_test.py::test_one[x]", "tests/b_test.py::test_two[64]")
    others = ("tests/b_test.py::test_two[1]", "tests/b_test.py::test_two", "tests/a_test.py::test_one_more")
    assert all(is_listed(test_id=test_id, known=known) for test_id in covered)
    assert not any(is_listed(test_id=test_id, known=known) for test_id in others)
