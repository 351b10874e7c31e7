"""What clients receive when engines break off or send invalid answers."""

import pytest

from dockmux.platform_proxy.dispatcher import Dispatcher
from dockmux.platform_proxy.engine_client import EngineClient
from dockmux.runtime.time_units import ms
from tests.standins.client import Attempt
from tests.standins.fleet import Fleet, fleet

PATHS = ("/notes/a", "/once/b", "/check/c", "/write/d")
BREAKS = ("break off", "break off early")
INVALID_ANSWERS = ("another's answer", "encoded", "no seal")


def _send_with_fault(*, sim_fleet: Fleet, path: str, kind: str, remaining: int, count: int = 6) -> list[Attempt]:
    """Sends `count` requests to one path, with the fault set before each."""
    attempts = []
    out = 0 if path.startswith(("/check/", "/write/")) else 12
    sim_fleet.send(path=path, tokens_out=out)
    for index in range(count):
        sim_fleet.faults.kind, sim_fleet.faults.remaining = kind, remaining
        attempts.append(sim_fleet.send(path=path, zone=index % 3, tokens_out=out))
        sim_fleet.faults.remaining = 0
        # Long enough for engines marked as failing to be health-checked.
        sim_fleet.sleep(seconds=1.1)
    return attempts


def test_a_non_repeatable_request_is_neither_rerun_nor_refused_after_its_engine_broke_off():
    with fleet(seed=11) as sim_fleet:
        attempts = []
        for path in ("/once/b", "/write/d"):
            for kind in BREAKS:
                attempts += _send_with_fault(sim_fleet=sim_fleet, path=path, kind=kind, remaining=1, count=3)
        assert sim_fleet.violations(attempts=attempts) == []
        for attempt in attempts:
            assert not attempt.is_correct and not attempt.refused
            assert len(sim_fleet.record.runs(request_id=attempt.request.request_id)) == 1
        sim_fleet.assert_no_failures()


def test_without_the_check_before_a_send_a_request_would_run_twice(monkeypatch):
    completion_before_send = Dispatcher._completion_before_send

    def forget_earlier_runs(self, *, record, committed):
        record.may_have_run = False
        return completion_before_send(self, record=record, committed=committed)

    monkeypatch.setattr(Dispatcher, "_completion_before_send", forget_earlier_runs)
    with fleet(seed=11) as sim_fleet:
        attempts = _send_with_fault(sim_fleet=sim_fleet, path="/write/d", kind="break off early", remaining=1, count=3)
        assert any("ran 2 times" in text for text in sim_fleet.violations(attempts=attempts))


def test_another_engine_resumes_a_stream_with_each_event_once_and_in_order():
    with fleet(seed=12) as sim_fleet:
        for after in (0, 1, 3, 12):
            sim_fleet.faults.after_events = after
            attempts = _send_with_fault(sim_fleet=sim_fleet, path="/notes/a", kind="break off", remaining=1, count=2)
            assert sim_fleet.violations(attempts=attempts) == []
            for attempt in attempts:
                assert attempt.is_correct, (after, attempt.status, attempt.body, attempt.error)
                first, second = sim_fleet.record.runs(request_id=attempt.request.request_id)
                assert first.engine != second.engine
                assert first.pieces + second.pieces == list(range(1, 13))
                # Once an event was relayed, the answer keeps the head and the seal of its first engine.
                assert not after or attempt.headers["x-seal"].startswith(first.engine)
        sim_fleet.assert_no_failures()


def test_a_client_resumes_after_its_last_event():
    with fleet(seed=13) as sim_fleet:
        attempt = sim_fleet.send(path="/notes/a", last_event=5)
        assert attempt.is_correct and sim_fleet.violations(attempts=[attempt]) == []
        sim_fleet.faults.kind, sim_fleet.faults.remaining = "break off", 1
        attempt = sim_fleet.send(path="/notes/a", last_event=5)
        assert attempt.is_correct and sim_fleet.violations(attempts=[attempt]) == []
        sim_fleet.assert_no_failures()


def test_a_stream_whose_engines_all_break_off_does_not_look_complete():
    with fleet(seed=14) as sim_fleet:
        attempts = _send_with_fault(sim_fleet=sim_fleet, path="/notes/a", kind="break off", remaining=9, count=3)
        assert sim_fleet.violations(attempts=attempts) == []
        assert not any(attempt.complete for attempt in attempts)
        sim_fleet.assert_no_failures()


@pytest.mark.parametrize("kind", INVALID_ANSWERS)
def test_no_part_of_an_invalid_answer_reaches_the_client(kind):
    with fleet(seed=15) as sim_fleet:
        for path in PATHS:
            attempts = _send_with_fault(sim_fleet=sim_fleet, path=path, kind=kind, remaining=9, count=1)
            assert sim_fleet.violations(attempts=attempts) == []
            assert not any(attempt.status == 200 or attempt.refused for attempt in attempts)
            once = _send_with_fault(sim_fleet=sim_fleet, path=path, kind=kind, remaining=1, count=1)
            assert sim_fleet.violations(attempts=once) == []
            repeated = path.startswith(("/notes/", "/check/"))
            assert [attempt.is_correct for attempt in once] == [repeated], path
        sim_fleet.assert_no_failures()


@pytest.mark.parametrize("kind", INVALID_ANSWERS)
def test_without_the_check_of_its_head_an_invalid_answer_would_reach_the_client(kind, monkeypatch):
    monkeypatch.setattr(EngineClient, "_find_defect", lambda self, *, record, answer, prefill: "")
    with fleet(seed=15) as sim_fleet:
        attempts = _send_with_fault(sim_fleet=sim_fleet, path="/check/c", kind=kind, remaining=1, count=1)
        assert any("a false answer" in text for text in sim_fleet.violations(attempts=attempts))


@pytest.mark.parametrize("surplus", (b"", b"\x00garbage\r\n\r\n", b"HTTP/1.1 200 OK\r\n"))
def test_surplus_bytes_after_an_answer_reach_no_client(surplus):
    """With one data daemon and one decode engine, the connection is reused immediately. A request may fail, so that its
    client has to repeat it, but no client may receive a false answer."""
    with fleet(seed=16, phases="d") as sim_fleet:
        sim_fleet.faults.surplus = surplus
        attempts = []
        for after_ms in (0, 1, 6, 40):
            sim_fleet.faults.surplus_after = ms(after_ms)
            for path in PATHS:
                out = 0 if path.startswith(("/check/", "/write/")) else 4
                sim_fleet.faults.kind, sim_fleet.faults.remaining = "surplus", 3
                requests = [sim_fleet.request(path=path, tokens_out=out, tokens_in=100) for _ in range(3)]
                attempts += sim_fleet.client.send_many(edge=sim_fleet.edges[0], requests=requests)
        assert sim_fleet.violations(attempts=attempts) == []
        assert any(attempt.is_correct for attempt in attempts)
        sim_fleet.assert_no_failures()
