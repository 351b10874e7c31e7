"""The cheap share of `python -m tests.planted_faults`: each fault against its directed scenario."""

import pytest

from tests.planted_faults.fault import NoSuchText, PlantedFault, Rewrite
from tests.planted_faults.scenarios import SCENARIOS
from tests.planted_faults.table import FAULTS

DIRECTED = [fault for fault in FAULTS if fault.directed]


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_a_directed_scenario_finds_nothing_in_the_product(name: str) -> None:
    assert SCENARIOS[name]() == []


@pytest.mark.parametrize("fault", DIRECTED, ids=[fault.name for fault in DIRECTED])
def test_a_planted_fault_is_caught_by_its_scenario(fault: PlantedFault) -> None:
    with fault.planted():
        assert SCENARIOS[fault.directed]()


def test_every_fault_can_be_planted_and_is_gone_afterwards() -> None:
    assert len({fault.name for fault in FAULTS}) == len(FAULTS)
    for fault in FAULTS:
        before = [getattr(rewrite.owner, rewrite.method) for rewrite in fault.rewrites]
        with fault.planted():
            assert [getattr(rewrite.owner, rewrite.method) for rewrite in fault.rewrites] != before
        assert [getattr(rewrite.owner, rewrite.method) for rewrite in fault.rewrites] == before


def test_every_scenario_is_some_faults() -> None:
    assert {fault.directed for fault in DIRECTED} == set(SCENARIOS)


def test_a_rewrite_of_text_that_is_not_there_is_refused() -> None:
    rewrite = Rewrite(owner=PlantedFault, method="planted", old="no such text", new="")
    with pytest.raises(NoSuchText):
        rewrite.rewritten()
