"""The fast part of `python -m tests.planted_faults`: each fault against its directed scenario only."""

import pytest

from tests.planted_faults.fault import PlantedFault, Rewrite, SourceTextNotFound
from tests.planted_faults.scenarios import SCENARIOS
from tests.planted_faults.table import FAULTS

FAULTS_WITH_SCENARIO = [fault for fault in FAULTS if fault.directed]


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_scenario_passes_on_unmodified_product(name: str) -> None:
    assert SCENARIOS[name]() == []


@pytest.mark.parametrize("fault", FAULTS_WITH_SCENARIO, ids=[fault.name for fault in FAULTS_WITH_SCENARIO])
def test_planted_fault_is_caught_by_its_scenario(fault: PlantedFault) -> None:
    with fault.planted():
        assert SCENARIOS[fault.directed]()


def test_every_fault_can_be_planted_and_is_removed_afterwards() -> None:
    assert len({fault.name for fault in FAULTS}) == len(FAULTS)
    for fault in FAULTS:
        before = [getattr(rewrite.owner, rewrite.method) for rewrite in fault.rewrites]
        with fault.planted():
            assert [getattr(rewrite.owner, rewrite.method) for rewrite in fault.rewrites] != before
        assert [getattr(rewrite.owner, rewrite.method) for rewrite in fault.rewrites] == before


def test_every_scenario_is_used_by_a_fault() -> None:
    assert {fault.directed for fault in FAULTS_WITH_SCENARIO} == set(SCENARIOS)


def test_rewrite_of_missing_source_text_is_rejected() -> None:
    rewrite = Rewrite(owner=PlantedFault, method="planted", old="no such text", new="")
    with pytest.raises(SourceTextNotFound):
        rewrite.rewritten()
