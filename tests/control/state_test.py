"""The replicated state: applying changes, snapshots in parts, and the log of accepted versions."""

from datetime import timedelta

from dockmux.control.state import State


def test_a_snapshot_in_parts_restores_the_state():
    state = State(claim_retention=timedelta(hours=1))
    state.apply(mark=1, change={"kind": "config", "tree": {"a": 1}, "activateUs": 5})
    state.apply(mark=2, change={"kind": "engines", "engines": [{"engine": "e"}]})
    for mark in range(3, 103):
        change = {"kind": "claim", "key": f"k{mark}", "holder": "x", "atUs": mark * state.claims.slot_us}
        state.apply(mark=mark, change=change)
    state.apply(mark=103, change={"kind": "move", "engine": "e", "phase": "x"})
    state.apply(mark=104, change={"kind": "move", "engine": "f", "phase": "x"})
    state.apply(mark=105, change={"kind": "moved", "engine": "f"})
    parts = state.snapshot()
    assert len(parts.claim_keys) == 7
    other = State(claim_retention=timedelta(hours=1))
    for part in parts.all_parts():
        other.restore(fields=part)
    assert vars(other.claims) == vars(state.claims)
    left, right = ({**vars(s), "claims": None} for s in (other, state))
    assert left == right
    assert state.news(since=1) == {"configs": [], "engines": [{"engine": "e"}], "engines_mark": 2, "moving": {"e": "x"}}
