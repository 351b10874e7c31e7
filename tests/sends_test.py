"""What may become of one send to an engine: each event on its connection, and what may follow from it."""

import http.client

import pytest

from dockmux.platform_proxy import engine_client
from dockmux.platform_proxy.connections import Connections
from dockmux.platform_proxy.engine_client import EngineClient
from dockmux.platform_proxy.send_state import Broken, SendState, TurnedAway, Unsent
from dockmux.runtime import codec
from dockmux.runtime.frames import FrameStream
from dockmux.runtime.http_transport import HttpClientConnection
from dockmux.runtime.messages import DirectoryAsk, DirectoryReply
from dockmux.runtime.rpc import RpcClient
from dockmux.runtime.time_units import ms
from dockmux.simulator.world import SimHost, World
from tests.standins.client import Seen
from tests.standins.engine import EARLY_FAULTS, WIRE_FAULTS
from tests.standins.fleet import Fleet, fleet

PATHS = ("/notes/a", "/once/b", "/check/c", "/write/d")
REPEATABLE = ("/notes/", "/check/")
TRIES = 2
# After these a repeatable request has no time left to be answered by another engine.
LASTING = ("silence", "late", "unannounced, then silent", "closing, then silent")
# Here the client has the beginning of an answer, and the answer cannot be resumed.
BEGUN = ("cut chunk",)


def tokens_out(*, path: str) -> int:
    return 0 if path.startswith(("/check/", "/write/")) else 12


def breaches(*, made: Fleet, tries: list[Seen], crashed: tuple[str, ...] = ()) -> list[str]:
    """Each breach of the rules of sends, as the clients and the engines saw them."""
    told = made.wrong(tries=tries)
    for seen in tries:
        name = seen.request.request_id
        rows = made.record.of(request_id=name)
        runs = {row.engine for row in rows if row.what == "run"} - set(crashed)
        if len(runs) > TRIES:
            told.append(f"{name}: ran on {len(runs)} engines")
        if 0 < seen.status < 200:
            told.append(f"{name}: an interim answer {seen.status} was given on")
        if "x-seal" in seen.headers and seen.status not in {row.status for row in rows}:
            told.append(f"{name}: a sealed {seen.status} that no engine gave")
    return told


def send_around(*, made: Fleet, path: str, fault: str, left: int = 1) -> list[Seen]:
    """Requests before, at and after a fault, one at a time, to one data daemon."""
    out = tokens_out(path=path)
    tries = [made.send(path=path, tokens_out=out, tokens_in=100)]
    made.faults.kind, made.faults.left = fault, left
    for _ in range(3):
        tries.append(made.send(path=path, tokens_out=out, tokens_in=100))
        made.sleep(seconds=0.1)
    made.faults.left = 0
    made.sleep(seconds=1.1)
    return tries


@pytest.mark.parametrize("fault", WIRE_FAULTS + EARLY_FAULTS)
@pytest.mark.parametrize("phases", ("d", "ddd"))
def test_no_event_on_a_connection_brings_a_breach(fault, phases):
    with fleet(seed=21, phases=phases) as made:
        for path in PATHS:
            tries = send_around(made=made, path=path, fault=fault)
            assert breaches(made=made, tries=tries) == []
            assert tries[0].right
            if phases == "ddd" and path.startswith(REPEATABLE) and fault not in LASTING:
                resumed = path.startswith("/notes/") or fault not in BEGUN
                assert all(seen.right for seen in tries) is resumed, [seen.status for seen in tries]
            assert made.daemons["edge-0"].table.open == 0, "held past its time"
        made.sound()


def test_a_request_that_was_cut_off_in_the_middle_of_its_sending_may_have_run():
    """Its body does not fit into the connection's buffers: the engine resets it while the daemon still sends."""
    with fleet(seed=22, phases="ddd") as made:
        body = b"x" * 1_000_000
        for path in ("/write/d", "/check/c"):
            made.faults.kind, made.faults.left = "reset in send", 1
            seen = made.send(path=path, tokens_out=0, tokens_in=100, body=body)
            assert breaches(made=made, tries=[seen]) == []
            assert (seen.status, seen.right) == ((502, False) if path == "/write/d" else (200, True))
        made.sound()


def test_an_interim_answer_is_passed_over():
    with fleet(seed=23, phases="d") as made:
        for fault in ("interim 100", "interim 103"):
            for path in PATHS:
                assert all(seen.right for seen in send_around(made=made, path=path, fault=fault)), (fault, path)
        made.sound()


def test_a_body_that_ends_with_its_connection_is_not_given_on():
    """An engine that crashed ends its connections as one that has finished does."""
    with fleet(seed=24, phases="dd") as made:
        for path in PATHS:
            tries = send_around(made=made, path=path, fault="unannounced")
            assert [seen.right for seen in tries] == [True, path.startswith(REPEATABLE), True, True]
        assert cut_by_a_crash(made=made) == []
        made.sound()


def cut_by_a_crash(*, made: Fleet) -> list[str]:
    """The breaches when the engines crash in the middle of a body that ends with its connection."""
    made.faults.kind, made.faults.left = "unannounced, then silent", 1
    made.client.start(edge=made.edges[0], request=made.request(path="/once/b", tokens_in=100))
    made.sleep(seconds=0.1)
    for name in list(made.engines):
        made.kill(name=name)
    made.sleep(seconds=10)
    return breaches(made=made, tries=made.client.tries[-1:])


# States.


def test_each_outcome_of_a_send_has_its_state():
    assert Unsent(why="", refused=True).state is SendState.UNSENT
    assert TurnedAway(why="", other_engine=False).state is SendState.TURNED_AWAY
    assert Broken(why="").state is SendState.MAY_HAVE_RUN
    assert engine_client.EngineResponse.state is SendState.RAN


def test_only_an_unsent_send_is_no_try_and_only_the_engines_word_frees_one_that_was_sent():
    assert [state for state in SendState if not state.counts] == [SendState.UNSENT]
    assert [state for state in SendState if not state.may_have_run] == [SendState.UNSENT, SendState.TURNED_AWAY]


# Between daemons.


def answer_twice(host: SimHost) -> None:
    """A daemon that sends each answer twice."""
    with host.listen(address="10.2.0.1:8166") as listener:
        while True:
            sock, _ = listener.accept()
            host.spawn(task=answer_twice_on, stream=FrameStream(sock=sock))


def answer_twice_on(*, stream: FrameStream) -> None:
    while True:
        try:
            ask = codec.decode(data=stream.receive())
        except OSError:
            return
        reply = codec.encode(message=DirectoryReply(digest=ask.digest, origin="", age_ms=0, engines=[]))
        stream.sock.sendall(b"%d:%s," % (len(reply), reply) * 2)


def test_a_second_answer_of_a_daemon_is_not_taken_for_the_answer_to_the_next_ask():
    with World(seed=1, link_us=700).open() as world:
        world.start(name="peer", ip="10.2.0.1", site="hill", run=answer_twice)
        here = SimHost(world=world, name="here", machine=world.machine(ip="10.1.0.1", site="hill"))
        here.sleep(wait=ms(10))
        with RpcClient(host=here) as rpc_client:
            for digest in ("a", "b", "c"):
                told = rpc_client.call(address="10.2.0.1:8166", request=DirectoryAsk(digest=digest), wait=ms(500))
                assert told.digest == digest


# With a defence taken away, the breach is found.


def found(*, fault: str, path: str, phases: str = "d", left: int = 1) -> str:
    with fleet(seed=25, phases=phases) as made:
        tries = send_around(made=made, path=path, fault=fault, left=left)
        return "; ".join(breaches(made=made, tries=tries))


def nameless(self, *, record, answer, reading):
    """The look at an answer's head without the request's name."""
    return "" if answer.metadata.not_run or answer.metadata.sealed else "it bears no seal"


def test_without_the_requests_name_anothers_refusal_would_be_believed(monkeypatch):
    monkeypatch.setattr(EngineClient, "_spoiled", nameless)
    assert "ran 2 times" in found(fault="another's refusal", path="/write/d")
    assert "refused with 503 after it ran" in found(fault="another's refusal", path="/write/d", left=2)
    assert "ran 2 times" in found(fault="another's refusal", path="/once/b", phases="ddd")


def test_without_the_look_for_the_engines_promise_a_bare_refusal_would_promise_it(monkeypatch):
    monkeypatch.setattr(engine_client, "PROMISES", ())
    for status in (408, 429, 503):
        assert f"refused with {status} after it ran" in found(fault=f"bare {status}", path="/write/d")


class LenientResponse(http.client.HTTPResponse):
    """As the standard library reads answers."""

    surplus = False


@pytest.mark.parametrize("fault", ("cut head", "interim only", "bad header", "bad length", "cut chunk"))
def test_with_lenient_reading_what_is_no_answer_would_pass_for_one(fault, monkeypatch):
    # Some of these have a second defence, which is taken away as well.
    monkeypatch.setattr(HttpClientConnection, "response_class", LenientResponse)
    monkeypatch.setattr(engine_client.EngineResponse, "ends_clearly", True)
    assert "00000002: " in found(fault=fault, path="/check/c")


def test_without_the_look_for_its_end_a_body_that_a_crash_cut_would_look_whole(monkeypatch):
    monkeypatch.setattr(engine_client.EngineResponse, "ends_clearly", True)
    with fleet(seed=24, phases="dd") as made:
        assert "a false answer 200" in "; ".join(cut_by_a_crash(made=made))


def test_over_its_former_connection_a_doubled_refusal_would_answer_the_next_send(monkeypatch):
    idle = Connections._idle
    monkeypatch.setattr(
        Connections, "_idle", lambda self, *, engine, request_id: idle(self, engine=engine, request_id="")
    )
    assert "refused with 503 after it ran" in found(fault="refusal doubled", path="/write/d")


def test_without_the_look_for_what_came_with_an_answer_its_connection_would_be_kept(monkeypatch):
    """Half of a second answer would be lost with the first one's buffer, the other half be read as the next answer."""
    monkeypatch.setattr(HttpClientConnection, "has_surplus", False)
    with fleet(seed=25, phases="ddd") as made:
        tries = send_around(made=made, path="/check/c", fault="doubled")
        assert not all(seen.right for seen in tries)


def test_without_its_state_a_broken_send_would_be_sent_again(monkeypatch):
    monkeypatch.setattr(Broken, "state", SendState.TURNED_AWAY)
    assert "ran 2 times" in found(fault="reset", path="/write/d", phases="ddd")
    assert "refused with 503 after it ran" in found(fault="reset", path="/once/b", left=2)


def test_without_counting_sends_a_request_would_run_on_too_many_engines(monkeypatch):
    monkeypatch.setattr(SendState, "counts", property(lambda state: False))
    assert "ran on 3 engines" in found(fault="reset", path="/check/c", phases="ddd", left=3)


def test_without_the_look_at_idle_connections_and_names_a_surplus_answer_would_reach_another_client(monkeypatch):
    monkeypatch.setattr(HttpClientConnection, "is_connected", property(lambda self: self.sock is not None))
    monkeypatch.setattr(EngineClient, "_spoiled", nameless)
    assert "a false answer 200" in found(fault="surplus", path="/check/c")
