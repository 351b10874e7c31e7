"""Approved transcripts of whole exchanges with a small simulated fleet."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

from dockmux.engine_emulator import answer_model
from dockmux.load_generator.client import Attempt, send
from dockmux.load_generator.open_loop import OpenLoopLoad
from dockmux.local_fleet.fleet_plan import load
from dockmux.runtime.http_transport import HttpClientConnection
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import View
from dockmux.runtime.time_units import ms
from dockmux.simulator.fleet import SimFleet, fleet

SECOND = timedelta(seconds=1)
SHOWN = ("Content-Type", "Retry-After", "Connection", "ETag", "Dockmux-Answer")


@contextmanager
def serving(*, seed: int = 1) -> Iterator[SimFleet]:
    with fleet(plan=load(path="fleets/mini.yaml"), seed=seed) as made:
        made.begin()
        yield made


def say(*, made: SimFleet, edge: int = 0, path: str = "/lanes/ask", method: str = "POST",
        body: Any = None, headers: dict[str, str] | None = None, wait: timedelta = SECOND) -> list[str]:  # fmt: skip
    """One request and all that came back; stamps, minted identities and digests told apart only by their length."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else None
    address = made.plan.edges[edge]["http"]
    with HttpClientConnection(host=made.outside, address=address, wait=SECOND) as stream:
        stream.connect()
        sent = {"Content-Type": "application/json"} | (headers or {})
        stream.request(method, path, body=data, headers=sent, preload_content=False)
        response = stream.getresponse()
        lines = [f"{method} {path} {headers or ''}".strip(), str(response.status)]
        lines += [f"{name}: {response.headers[name]}" for name in SHOWN if name in response.headers]
        for line in response.read().decode().splitlines():
            told = json.loads(line)
            lines.append(json.dumps({k: v for k, v in told.items() if k not in ("stampUs", "digest")}))
    return lines


def test_bad_input_has_its_kind_and_answer(snapshot):
    with serving() as made:
        made.daemons["edge-0"].gossip.clock.dispersion = ms(5)
        told = [
            say(made=made, body={"prompt": "p"}, path="/lanes/none"),
            say(made=made, body={"prompt": "p", "color": "red"}),
            say(made=made, body={"prompt": ""}),
            say(made=made, body=b"{"),
            say(made=made, body=b'"text"'),
            say(made=made, body=b"x" * (1024 * 1024 + 1)),
            say(made=made, body={"prompt": "p"}, headers={"Content-Type": "text/plain"}),
            say(made=made, body={"prompt": "p"}, headers={"Idempotency-Key": "no spaces"}),
            say(made=made, body={"prompt": "p"}, headers={"Dockmux-Resume-From": "-1"}),
            say(made=made, body={"prompt": "p"}, path="/lanes/once", headers={"Dockmux-Resume-From": "2"}),
            say(made=made, body={"prompt": "p"}, headers={"Dockmux-Attempt": "first"}),
            say(made=made, body={"prompt": "p", "horizonMs": 1}),
            say(made=made, body={"prompt": "p", "horizonMs": 1}, headers={"Idempotency-Key": "a", **FIRST}),
            say(made=made, body={"prompt": "p", "horizonMs": 1}, headers={"Idempotency-Key": "b"}),
            say(made=made, method="GET"),
            say(made=made, method="GET", path="/elsewhere"),
        ]
    assert told == snapshot


FIRST = {"Dockmux-Attempt": "1"}


def _answer(lines: list[str]) -> str:
    return next(line.partition(": ")[2] for line in lines if line.startswith("Dockmux-Answer"))


def test_a_stream_its_repeat_and_its_rest(snapshot):
    body = {"prompt": "which track", "prefix": "sheet", "pieces": 3}
    with serving() as made:
        first = say(made=made, body=body, headers={"Idempotency-Key": "a"})
        rest = {"Idempotency-Key": "a", "Dockmux-Resume-From": "2"}
        told = [
            first,
            say(made=made, body=body, headers={"Idempotency-Key": "a"}),
            say(made=made, body=body, edge=1, headers={**rest, "Dockmux-Resume-Of": _answer(first)}),
            say(made=made, body=body, edge=1, headers={**rest, "Dockmux-Resume-Of": "another"}),
            say(made=made, body={"prompt": "another"}, headers={"Idempotency-Key": "a"}),
            say(made=made, body=body, path="/lanes/once", headers={"Idempotency-Key": "b"}),
            say(made=made, body=body, path="/lanes/once", edge=1, headers={"Idempotency-Key": "b"}),
        ]
        runs = [row["what"] for e in made.engines for row in e.history if row.get("request") == "once/b"]
    assert told == snapshot
    assert runs == ["prefill", "prefilled", "decode", "decoded"]


def test_a_repeat_of_a_run_that_nobody_here_knows_of_is_unknown_not_refused(snapshot):
    """On a lane run once, a daemon that cannot ask the chain must not say that the request has not run."""
    body = {"prompt": "closure", "pieces": 2}
    told = []
    with serving() as made:
        told.append(say(made=made, body=body, path="/lanes/once", headers={"Idempotency-Key": "c"}))
        cores = [core["address"].partition(":")[0] for core in made.plan.cores]
        edge = made.plan.edges[1]["address"].partition(":")[0]
        made.world.cuts |= {(edge, core) for core in cores} | {(core, edge) for core in cores}
        for wait in (ms(0), ms(1500), ms(1500)):
            made.outside.sleep(wait=wait)
            told.append(say(made=made, body=body, edge=1, path="/lanes/once", headers={"Idempotency-Key": "c"}))
            told.append(say(made=made, body=body, edge=1, path="/lanes/once"))
        made.daemons["edge-1"].drain()
        told.append(say(made=made, body=body, edge=1, path="/lanes/once", headers={"Idempotency-Key": "c"}))
    assert [lines[1] for lines in told] == snapshot
    assert told[-1] == snapshot


def test_a_continuation_is_of_the_answer_that_was_begun_or_ends_at_once(snapshot):
    """The lane's model is changed while its answer streams: no piece of the other model follows, here or elsewhere."""
    body = {"prompt": "which track", "pieces": 600}
    tree = {
        **load(path="fleets/mini.yaml").tree,
        "defaults": {"horizonMs": 8000, "urgency": 3, "model": "n", "run": "once"},
    }
    with serving() as made:
        open_loop = OpenLoopLoad(host=made.outside, plan=made.plan, seed=1)
        lines: list[list[str]] = []
        task = made.outside.spawn(
            task=lambda: lines.append(say(made=made, body=body, headers={"Idempotency-Key": "a"}, wait=10 * SECOND))
        )
        made.outside.sleep(wait=ms(800))
        assert made.put_config(tree=tree)[0] == 200
        made.outside.sleep(wait=2 * SECOND)
        # The engine breaks off under the new configuration; the memory is still with the engine that read.
        made.hosts["engine-1"].kill()
        made.start_engine(engine=made.plan.engines[1])
        task.wait()
        given = [json.loads(line) for line in lines[0] if '"text"' in line]
        rest = {"Idempotency-Key": "a", "Dockmux-Resume-From": "2", "Dockmux-Resume-Of": _answer(lines[0])}
        told = [lines[0][-1:], say(made=made, body=body, edge=1, headers=rest)]
    ask = open_loop.next_request(mix_entry=made.plan.mix[0])
    wanted = answer_model.expected_answer(request="ask/a", model="m", adapter=None, body=body)
    assert ask.answers and 100 < len(given) < 600
    assert [row["text"] for row in given] == wanted[: len(given)]
    assert json.loads(told[0][0])["outcome"] == "changed" and not json.loads(told[0][0])["complete"]
    assert told[1] == snapshot


def test_pieces_are_given_as_they_are_written_not_all_at_the_end():
    with serving() as made:
        open_loop = OpenLoopLoad(host=made.outside, plan=made.plan, seed=1)
        ask = open_loop.next_request(mix_entry={**made.plan.mix[0], "pieces": [20, 20]})
        seen = Attempt(lane=ask.lane, identity=ask.identity, edge=ask.edge, intended=made.world.now())
        send(host=made.outside, request=ask, attempt=seen, since=timedelta())
    assert seen.kind == "answered" and seen.ended - seen.first >= 15 * ms(8)


def test_operators_exchanges(snapshot):
    tree = {
        "defaults": {"horizonMs": 8000, "urgency": 3, "model": "m", "run": "repeatable"},
        "services": {"catalogue": {}},
        "lanes": {"ask": {"service": "catalogue"}},
    }
    told = []
    with serving() as made:

        def ask(*, method: str, path: str, fields: Any = None, mark: str = "") -> None:
            headers = {"If-Match": mark} if mark else None
            address = made.plan.cores[1]["http"]
            status, answer = made.ask(address=address, method=method, path=path, fields=fields, headers=headers)
            told.append([f"{method} {path} {mark}".strip(), status, answer])

        ask(method="PUT", path="/config", fields=tree)
        ask(method="PUT", path="/config", fields={**tree, "lanes": {"ask": {"service": "none"}}}, mark='"2"')
        ask(method="PUT", path="/config", fields={"defaults": {"urgency": 11}}, mark='"2"')
        ask(method="PUT", path="/config", fields=tree, mark='"1"')
        ask(method="PUT", path="/config", fields=tree, mark='"2"')
        told[-1][2].pop("activateUs")
        # The same order again, as after a lost answer; then another one on the same mark.
        ask(method="PUT", path="/config", fields=tree, mark='"2"')
        told[-1][2].pop("activateUs")
        ask(method="PUT", path="/config", fields={**tree, "sites": {}}, mark='"2"')
        ask(method="GET", path="/config/99")
        ask(method="GET", path="/explain/ask?site=a")
        ask(method="GET", path="/explain/none")
        ask(method="PUT", path="/engines", fields={"engines": [{"engine": "E"}]})
        ask(method="PUT", path="/engines", fields={"engines": []}, mark='"77"')
        ask(method="DELETE", path="/config")
    assert told == snapshot


def test_a_daemon_without_a_trusted_clock_takes_nothing_on(snapshot):
    """Unsynchronized, as after a freeze, or with a bound above the setting: refused at once."""
    told = []
    with serving() as made:
        gossip = made.daemons["edge-0"].gossip
        gossip.clock.mark_unsynchronized()
        told.append(say(made=made, body={"prompt": "p"}))
        assert made.wait_until(what=gossip.ready, limit=5 * SECOND)
        told.append(say(made=made, body={"prompt": "p", "pieces": 1})[:2])
        gossip.clock.dispersion = ms(251)
        told.append(say(made=made, body={"prompt": "p"}))
    assert told == snapshot


def test_a_slow_reader_stalls_nobody_and_is_given_up_within_bounds():
    """One user agent reads nothing of a long answer; the engine is free again and others are served meanwhile."""
    with serving() as made:
        kind = {**made.plan.mix[0], "pieces": [5000, 5000]}
        open_loop = OpenLoopLoad(host=made.outside, plan=made.plan, seed=1)
        slow = open_loop.next_request(mix_entry=kind)
        edge = made.daemons["edge-0"]
        with HttpClientConnection(host=made.outside, address=made.plan.edges[0]["http"], wait=SECOND) as stream:
            stream.connect()
            headers = {"Idempotency-Key": slow.identity}
            body = {**slow.body, "horizonMs": 8000}
            stream.send_request(method="POST", path="/lanes/ask", fields=body, headers=headers)
            made.outside.sleep(wait=2 * SECOND)
            others = []
            for _ in range(5):
                ask = open_loop.next_request(mix_entry=made.plan.mix[0])
                seen = Attempt(lane=ask.lane, identity=ask.identity, edge=ask.edge, intended=made.world.now())
                send(host=made.outside, request=ask, attempt=seen, since=timedelta())
                others.append((seen.kind, seen.ended - seen.intended < SECOND))
            made.outside.sleep(wait=30 * SECOND)
            record = edge.table.records[f"ask/{slow.identity}"]
            assert record.outcome is not None and record.readers == 0
        assert others == [("answered", True)] * 5


def _figures(*, made: SimFleet, address: str) -> list[str]:
    with HttpClientConnection(host=made.outside, address=address, wait=SECOND) as stream:
        stream.connect()
        return stream.call(method="GET", path="/metrics").read().decode().splitlines()


def test_metrics_tell_how_requests_ended_and_how_the_chain_stands():
    with serving() as made:
        say(made=made, body={"prompt": "p", "pieces": 1})
        made.daemons["edge-0"].gossip.clock.dispersion = ms(5)
        say(made=made, body={"prompt": "p", "horizonMs": 1})
        edge = _figures(made=made, address=made.plan.edges[0]["http"])
        core = _figures(made=made, address=made.plan.cores[0]["http"])
    assert 'dockmux_outcomes{kind="answered"} 1.0' in edge and 'dockmux_outcomes{kind="late"} 1.0' in edge
    assert 'dockmux_stage_seconds_bucket{le="+Inf",stage="read"} 1.0' in edge
    assert "dockmux_ready 1.0" in edge and "dockmux_open 0.0" in edge
    assert {"dockmux_view 1.0", "dockmux_chain 3.0", "dockmux_permit 1.0", "dockmux_members 2.0"} <= set(core)


def test_a_daemon_cut_from_every_core_goes_on_with_a_peers_news():
    with serving() as made:
        cores = [core["address"].partition(":")[0] for core in made.plan.cores]
        edge = made.plan.edges[0]["address"].partition(":")[0]
        made.world.cuts |= {(edge, core) for core in cores} | {(core, edge) for core in cores}
        made.outside.sleep(wait=7 * SECOND)
        answers = []
        for _ in range(5):
            made.outside.sleep(wait=ms(400))
            answers.append(say(made=made, body={"prompt": "p", "pieces": 1})[1])
        assert answers == ["200"] * 5


def test_a_head_that_falls_silent_is_replaced_by_the_majority_that_answers():
    """The others do not wait for its vote: suspicion, a look, and two rounds of a majority."""
    with serving() as made:
        head = next(name for name in ("core-0", "core-1", "core-2") if made.daemons[name].agreement.is_head())
        made.hosts[head].machine.isolated = True
        cut = made.world.now()
        made.outside.sleep(wait=6 * SECOND)
        adopted = [
            at - cut for at, _, log_event, _ in made.world.logged if log_event is LogEvent.VIEW_ADOPTED and at > cut
        ]
    assert len(adopted) == 2 and max(adopted) < ms(2500)


def test_a_head_that_is_left_out_between_adding_and_passing_on_passes_nothing_on():
    with serving() as made:
        chain = next(made.daemons[name].chain for name in ("core-0", "core-1", "core-2") if
                     made.daemons[name].agreement.is_head())  # fmt: skip
        view = chain.agreement.view
        chain.store.view = View(number=2, chain=view.chain[1:], voters=view.voters)
        followed = chain.followed
        chain._push()
        assert chain.followed == followed
