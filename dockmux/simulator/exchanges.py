"""Snapshot tests of whole HTTP exchanges with a small simulated fleet."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

from dockmux.engine_emulator import answer_model
from dockmux.load_generator.client import Attempt, send
from dockmux.load_generator.open_loop import OpenLoopLoad
from dockmux.local_fleet.fleet_plan import load
from dockmux.runtime.http_client import HttpClientConnection
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import View
from dockmux.runtime.time_units import ms
from dockmux.simulator.fleet import SimFleet, fleet

SECOND = timedelta(seconds=1)
TRANSCRIPT_HEADERS = ("Content-Type", "Retry-After", "Connection", "ETag", "Dockmux-Answer")


@contextmanager
def serving_fleet(*, seed: int = 1) -> Iterator[SimFleet]:
    """Runs the small fleet of fleets/mini.yaml until the block ends; inside, it serves requests."""
    with fleet(plan=load(path="fleets/mini.yaml"), seed=seed) as sim:
        sim.begin()
        yield sim


def exchange(*, sim: SimFleet, edge: int = 0, path: str = "/lanes/ask", method: str = "POST",
        body: Any = None, headers: dict[str, str] | None = None, wait: timedelta = SECOND) -> list[str]:  # fmt: skip
    """Sends one request; returns the transcript: status, headers and body lines, without time stamps and digests."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else None
    address = sim.plan.edges[edge]["http"]
    with HttpClientConnection(host=sim.outside, address=address, wait=SECOND) as stream:
        stream.connect()
        sent = {"Content-Type": "application/json"} | (headers or {})
        stream.request(method, path, body=data, headers=sent, preload_content=False)
        response = stream.getresponse()
        lines = [f"{method} {path} {headers or ''}".strip(), str(response.status)]
        lines += [f"{name}: {response.headers[name]}" for name in TRANSCRIPT_HEADERS if name in response.headers]
        for line in response.read().decode().splitlines():
            body_line = json.loads(line)
            lines.append(json.dumps({k: v for k, v in body_line.items() if k not in ("stampUs", "digest")}))
    return lines


def test_bad_input_has_its_outcome_and_answer(snapshot):
    with serving_fleet() as sim:
        sim.daemons["edge-0"].gossip.clock.dispersion = ms(5)
        transcripts = [
            exchange(sim=sim, body={"prompt": "p"}, path="/lanes/none"),
            exchange(sim=sim, body={"prompt": "p", "color": "red"}),
            exchange(sim=sim, body={"prompt": ""}),
            exchange(sim=sim, body=b"{"),
            exchange(sim=sim, body=b'"text"'),
            exchange(sim=sim, body=b"x" * (1024 * 1024 + 1)),
            exchange(sim=sim, body={"prompt": "p"}, headers={"Content-Type": "text/plain"}),
            exchange(sim=sim, body={"prompt": "p"}, headers={"Idempotency-Key": "no spaces"}),
            exchange(sim=sim, body={"prompt": "p"}, headers={"Dockmux-Resume-From": "-1"}),
            exchange(sim=sim, body={"prompt": "p"}, path="/lanes/once", headers={"Dockmux-Resume-From": "2"}),
            exchange(sim=sim, body={"prompt": "p"}, headers={"Dockmux-Attempt": "first"}),
            exchange(sim=sim, body={"prompt": "p", "horizonMs": 1}),
            exchange(sim=sim, body={"prompt": "p", "horizonMs": 1}, headers={"Idempotency-Key": "a", **FIRST_ATTEMPT}),
            exchange(sim=sim, body={"prompt": "p", "horizonMs": 1}, headers={"Idempotency-Key": "b"}),
            exchange(sim=sim, method="GET"),
            exchange(sim=sim, method="GET", path="/elsewhere"),
        ]
    assert transcripts == snapshot


FIRST_ATTEMPT = {"Dockmux-Attempt": "1"}


def _answer_id(lines: list[str]) -> str:
    return next(line.partition(": ")[2] for line in lines if line.startswith("Dockmux-Answer"))


def test_a_stream_its_repeat_and_its_resumption(snapshot):
    body = {"prompt": "which track", "prefix": "sheet", "pieces": 3}
    with serving_fleet() as sim:
        first = exchange(sim=sim, body=body, headers={"Idempotency-Key": "a"})
        resume_headers = {"Idempotency-Key": "a", "Dockmux-Resume-From": "2"}
        transcripts = [
            first,
            exchange(sim=sim, body=body, headers={"Idempotency-Key": "a"}),
            exchange(sim=sim, body=body, edge=1, headers={**resume_headers, "Dockmux-Resume-Of": _answer_id(first)}),
            exchange(sim=sim, body=body, edge=1, headers={**resume_headers, "Dockmux-Resume-Of": "another"}),
            exchange(sim=sim, body={"prompt": "another"}, headers={"Idempotency-Key": "a"}),
            exchange(sim=sim, body=body, path="/lanes/once", headers={"Idempotency-Key": "b"}),
            exchange(sim=sim, body=body, path="/lanes/once", edge=1, headers={"Idempotency-Key": "b"}),
        ]
        runs = [row["what"] for e in sim.engines for row in e.history if row.get("request") == "once/b"]
    assert transcripts == snapshot
    assert runs == ["prefill", "prefilled", "decode", "decoded"]


def test_a_repeat_of_a_run_unknown_to_the_daemon_is_unknown_not_refused(snapshot):
    """On a lane with run: once, a daemon cut off from the chain must not refuse a request that may have run."""
    body = {"prompt": "closure", "pieces": 2}
    transcripts = []
    with serving_fleet() as sim:
        transcripts.append(exchange(sim=sim, body=body, path="/lanes/once", headers={"Idempotency-Key": "c"}))
        cores = [core["address"].partition(":")[0] for core in sim.plan.cores]
        edge = sim.plan.edges[1]["address"].partition(":")[0]
        sim.world.cuts |= {(edge, core) for core in cores} | {(core, edge) for core in cores}
        for delay in (ms(0), ms(1500), ms(1500)):
            sim.outside.sleep(wait=delay)
            transcripts.append(
                exchange(sim=sim, body=body, edge=1, path="/lanes/once", headers={"Idempotency-Key": "c"})
            )
            transcripts.append(exchange(sim=sim, body=body, edge=1, path="/lanes/once"))
        sim.daemons["edge-1"].drain()
        transcripts.append(exchange(sim=sim, body=body, edge=1, path="/lanes/once", headers={"Idempotency-Key": "c"}))
    assert [lines[1] for lines in transcripts] == snapshot
    assert transcripts[-1] == snapshot


def test_a_continuation_belongs_to_the_first_answer_or_ends_at_once(snapshot):
    """The lane's model changes during a stream: no piece of the other model follows, there or in a resumption."""
    body = {"prompt": "which track", "pieces": 600}
    tree = {
        **load(path="fleets/mini.yaml").tree,
        "defaults": {"horizonMs": 8000, "urgency": 3, "model": "n", "run": "once"},
    }
    with serving_fleet() as sim:
        open_loop = OpenLoopLoad(host=sim.outside, plan=sim.plan, seed=1)
        lines: list[list[str]] = []
        task = sim.outside.spawn(
            task=lambda: lines.append(exchange(sim=sim, body=body, headers={"Idempotency-Key": "a"}, wait=10 * SECOND))
        )
        sim.outside.sleep(wait=ms(800))
        assert sim.put_config(tree=tree)[0] == 200
        sim.outside.sleep(wait=2 * SECOND)
        # The decode engine crashes under the new configuration; the prefill engine still holds the KV cache.
        sim.hosts["engine-1"].kill()
        sim.start_engine(engine=sim.plan.engines[1])
        task.wait()
        pieces = [json.loads(line) for line in lines[0] if '"text"' in line]
        resume_headers = {"Idempotency-Key": "a", "Dockmux-Resume-From": "2", "Dockmux-Resume-Of": _answer_id(lines[0])}
        transcripts = [lines[0][-1:], exchange(sim=sim, body=body, edge=1, headers=resume_headers)]
    request = open_loop.next_request(mix_entry=sim.plan.mix[0])
    expected = answer_model.expected_answer(request="ask/a", model="m", adapter=None, body=body)
    assert request.answers and 100 < len(pieces) < 600
    assert [row["text"] for row in pieces] == expected[: len(pieces)]
    assert json.loads(transcripts[0][0])["outcome"] == "changed" and not json.loads(transcripts[0][0])["complete"]
    assert transcripts[1] == snapshot


def test_pieces_are_streamed_as_they_are_decoded():
    with serving_fleet() as sim:
        open_loop = OpenLoopLoad(host=sim.outside, plan=sim.plan, seed=1)
        request = open_loop.next_request(mix_entry={**sim.plan.mix[0], "pieces": [20, 20]})
        attempt = Attempt(lane=request.lane, identity=request.identity, edge=request.edge, intended=sim.world.now())
        send(host=sim.outside, request=request, attempt=attempt, since=timedelta())
    assert attempt.kind == "answered" and attempt.ended - attempt.first >= 15 * ms(8)


def test_operator_exchanges(snapshot):
    tree = {
        "defaults": {"horizonMs": 8000, "urgency": 3, "model": "m", "run": "repeatable"},
        "services": {"catalogue": {}},
        "lanes": {"ask": {"service": "catalogue"}},
    }
    transcripts = []
    with serving_fleet() as sim:

        def request(*, method: str, path: str, fields: Any = None, mark: str = "") -> None:
            headers = {"If-Match": mark} if mark else None
            address = sim.plan.cores[1]["http"]
            status, answer = sim.request(address=address, method=method, path=path, fields=fields, headers=headers)
            transcripts.append([f"{method} {path} {mark}".strip(), status, answer])

        request(method="PUT", path="/config", fields=tree)
        request(method="PUT", path="/config", fields={**tree, "lanes": {"ask": {"service": "none"}}}, mark='"2"')
        request(method="PUT", path="/config", fields={"defaults": {"urgency": 11}}, mark='"2"')
        request(method="PUT", path="/config", fields=tree, mark='"1"')
        request(method="PUT", path="/config", fields=tree, mark='"2"')
        transcripts[-1][2].pop("activateUs")
        # The same change again, as after a lost answer; then another one based on the same mark.
        request(method="PUT", path="/config", fields=tree, mark='"2"')
        transcripts[-1][2].pop("activateUs")
        request(method="PUT", path="/config", fields={**tree, "sites": {}}, mark='"2"')
        request(method="GET", path="/config/99")
        request(method="GET", path="/explain/ask?site=a")
        request(method="GET", path="/explain/none")
        request(method="PUT", path="/engines", fields={"engines": [{"engine": "E"}]})
        request(method="PUT", path="/engines", fields={"engines": []}, mark='"77"')
        request(method="DELETE", path="/config")
    assert transcripts == snapshot


def test_a_daemon_without_a_trusted_clock_refuses_requests(snapshot):
    """Requests are refused while the clock is unsynchronized, as after a freeze, or its bound exceeds the setting."""
    transcripts = []
    with serving_fleet() as sim:
        gossip = sim.daemons["edge-0"].gossip
        gossip.clock.mark_unsynchronized()
        transcripts.append(exchange(sim=sim, body={"prompt": "p"}))
        assert sim.wait_until(what=gossip.ready, limit=5 * SECOND)
        transcripts.append(exchange(sim=sim, body={"prompt": "p", "pieces": 1})[:2])
        gossip.clock.dispersion = ms(251)
        transcripts.append(exchange(sim=sim, body={"prompt": "p"}))
    assert transcripts == snapshot


def test_a_slow_reader_blocks_nobody_and_is_dropped_in_time():
    """A user agent reads nothing of a long answer: others are served meanwhile; its request ends within 32 s."""
    with serving_fleet() as sim:
        kind = {**sim.plan.mix[0], "pieces": [5000, 5000]}
        open_loop = OpenLoopLoad(host=sim.outside, plan=sim.plan, seed=1)
        slow = open_loop.next_request(mix_entry=kind)
        edge = sim.daemons["edge-0"]
        with HttpClientConnection(host=sim.outside, address=sim.plan.edges[0]["http"], wait=SECOND) as stream:
            stream.connect()
            headers = {"Idempotency-Key": slow.identity}
            body = {**slow.body, "horizonMs": 8000}
            stream.send_request(method="POST", path="/lanes/ask", fields=body, headers=headers)
            sim.outside.sleep(wait=2 * SECOND)
            others = []
            for _ in range(5):
                request = open_loop.next_request(mix_entry=sim.plan.mix[0])
                attempt = Attempt(
                    lane=request.lane, identity=request.identity, edge=request.edge, intended=sim.world.now()
                )
                send(host=sim.outside, request=request, attempt=attempt, since=timedelta())
                others.append((attempt.kind, attempt.ended - attempt.intended < SECOND))
            sim.outside.sleep(wait=30 * SECOND)
            record = edge.table.records[f"ask/{slow.identity}"]
            assert record.outcome is not None and record.readers == 0
        assert others == [("answered", True)] * 5


def _metrics(*, sim: SimFleet, address: str) -> list[str]:
    with HttpClientConnection(host=sim.outside, address=address, wait=SECOND) as stream:
        stream.connect()
        return stream.call(method="GET", path="/metrics").read().decode().splitlines()


def test_metrics_show_request_outcomes_and_chain_state():
    with serving_fleet() as sim:
        exchange(sim=sim, body={"prompt": "p", "pieces": 1})
        sim.daemons["edge-0"].gossip.clock.dispersion = ms(5)
        exchange(sim=sim, body={"prompt": "p", "horizonMs": 1})
        edge = _metrics(sim=sim, address=sim.plan.edges[0]["http"])
        core = _metrics(sim=sim, address=sim.plan.cores[0]["http"])
    assert 'dockmux_outcomes{kind="answered"} 1.0' in edge and 'dockmux_outcomes{kind="late"} 1.0' in edge
    assert 'dockmux_stage_seconds_bucket{le="+Inf",stage="read"} 1.0' in edge
    assert "dockmux_ready 1.0" in edge and "dockmux_open 0.0" in edge
    assert {"dockmux_view 1.0", "dockmux_chain 3.0", "dockmux_permit 1.0", "dockmux_members 2.0"} <= set(core)


def test_a_daemon_cut_off_from_every_core_serves_with_news_from_a_peer():
    with serving_fleet() as sim:
        cores = [core["address"].partition(":")[0] for core in sim.plan.cores]
        edge = sim.plan.edges[0]["address"].partition(":")[0]
        sim.world.cuts |= {(edge, core) for core in cores} | {(core, edge) for core in cores}
        sim.outside.sleep(wait=7 * SECOND)
        answers = []
        for _ in range(5):
            sim.outside.sleep(wait=ms(400))
            answers.append(exchange(sim=sim, body={"prompt": "p", "pieces": 1})[1])
        assert answers == ["200"] * 5


def test_an_unreachable_head_is_replaced_by_a_majority():
    """The others don't wait for the head's vote: detection, a probe and two majority rounds take under 2.5 s."""
    with serving_fleet() as sim:
        head = next(name for name in ("core-0", "core-1", "core-2") if sim.daemons[name].agreement.is_head())
        sim.hosts[head].machine.isolated = True
        isolated_at = sim.world.now()
        sim.outside.sleep(wait=6 * SECOND)
        adoption_delays = [
            at - isolated_at
            for at, _, log_event, _ in sim.world.logged
            if log_event is LogEvent.VIEW_ADOPTED and at > isolated_at
        ]
    assert len(adoption_delays) == 2 and max(adoption_delays) < ms(2500)


def test_a_head_removed_from_the_view_after_an_append_pushes_nothing():
    with serving_fleet() as sim:
        chain = next(sim.daemons[name].chain for name in ("core-0", "core-1", "core-2") if
                     sim.daemons[name].agreement.is_head())  # fmt: skip
        view = chain.agreement.view
        chain.store.view = View(number=2, chain=view.chain[1:], voters=view.voters)
        followed = chain.successor_acked
        chain._push_to_successor()
        assert chain.successor_acked == followed
