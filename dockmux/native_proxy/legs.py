"""The two legs of a request, each one exchange with one engine, written straight down."""

import json
from collections.abc import Callable
from typing import Any

import urllib3.exceptions

from dockmux.clock.clock import Clock
from dockmux.native_proxy.follower import Follower
from dockmux.native_proxy.request_record import RequestRecord
from dockmux.runtime.engine_connections import EngineConnectionPool
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.time_units import ZERO, instant_us, to_ms, to_us

PIECES_MOST = 10_000
LINE_MOST_BYTES = 65_536


class NotSent(Exception):
    """The leg did not begin: no byte of the request has left."""


class MemoryLapsed(Exception):
    """The engine answered that it does not have the prompt's memory; it has run nothing."""


class Rejected(Exception):
    """The engine answered that it will not run this, and has not: it is leaving, full, or in another phase."""


class Broken(Exception):
    """The leg began and did not come to its end; what the engine did is not known."""


class Legs:
    """Invariants: `may_send` is asked on a stream that has told its identity, and between its yes and the first
    byte there is no wait; a leg says until when, on the engine's own clock, its configuration surely holds, so that one
    that is late, because a machine stood still just there, is refused by the engine."""

    def __init__(
        self, *, host: Host, clock: Clock, connection_pool: EngineConnectionPool, may_send: Callable[..., bool],
        follower: Follower, name: str,
    ) -> None:  # fmt: skip
        self.follower = follower
        self.host = host
        self.clock = clock
        self.connection_pool = connection_pool
        self.may_send = may_send
        self.name = name

    def read(self, *, record: RequestRecord, engine: dict[str, Any]) -> None:
        """Has an engine read the prompt; the record then holds the memory's tag."""
        fields = {"prompt": record.body["prompt"], "prefix": record.body.get("prefix", "")}
        with self._sending(record=record, engine=engine, leg="read") as (stream, left):
            with time_limit(wait=left):
                response = self._ask(record=record, stream=stream, path="/prefill", fields=fields)
                told = json.loads(response.read())
                stream.reusable = True
            self._refused(response=response, told=told)
            memory = told["memory"]
            if self._wanted(record=record, stream=stream) != {k: memory[k] for k in WANTED}:
                raise Broken("the memory's tag is not the one asked for")
            record.memory, record.memory_engine = memory, engine

    def _wanted(self, *, record: RequestRecord, stream: Any) -> dict[str, Any]:
        return {
            "engine": stream.identity["engine"],
            "incarnation": stream.identity["incarnation"],
            "request": record.key,
            "prefix_digest": record.prefix_digest,
            "model": record.values["model"],
            "adapter": record.values["adapter"],
        }

    def write(self, *, record: RequestRecord, engine: dict[str, Any]) -> None:
        """Has an engine stream the answer; its pieces are added to the record as they come."""
        start = record.first_piece + len(record.pieces)
        fields = {
            "memory": record.memory,
            "source": record.memory_engine["address"],
            "pieces": record.body.get("pieces"),
            "from": start,
        }
        with self._sending(record=record, engine=engine, leg="write") as (stream, left):
            with time_limit(wait=left):
                response = self._ask(record=record, stream=stream, path="/decode", fields=fields)
                if response.status != 200:
                    told = json.loads(response.read())
                    stream.reusable = True
                    self._refused(response=response, told=told)
                self._relay(record=record, response=response, start=start)
                stream.reusable = True

    def _relay(self, *, record: RequestRecord, response: Any, start: int) -> None:
        """Invariant: nothing is relayed before the engine has echoed the memory's tag."""
        expected = start
        echoed = False
        for line in response:
            if len(line) > LINE_MOST_BYTES or expected > PIECES_MOST:
                raise Broken("the answer is too large")
            told = json.loads(line)
            if not echoed:
                if told.get("memory") != record.memory:
                    raise Broken("the engine goes on from another memory")
                echoed = True
                record.reached["hand_over"] = self.host.elapsed()
            elif "end" in told:
                if told["count"] != expected or response.read():
                    raise Broken("the answer's end does not fit its pieces")
                return
            else:
                if told["n"] != expected or told["request"] != record.key:
                    raise Broken(f"piece {told['n']} came where {expected} was due")
                expected += 1
                record.add(text=told["text"], stampUs=instant_us(self.clock.issue_time()))
        raise Broken("the answer was cut")

    def _refused(self, *, response: Any, told: Any) -> None:
        if response.status == 410:
            raise MemoryLapsed(told.get("why", ""))
        if response.status in (409, 503):
            raise Rejected(told.get("why", ""))
        if response.status != 200:
            raise Broken(f"the engine answered {response.status}")

    def _sending(self, *, record: RequestRecord, engine: dict[str, Any], leg: str) -> "_Sending":
        return _Sending(legs=self, record=record, engine=engine, leg=leg)

    def _ask(self, *, record: RequestRecord, stream: Any, path: str, fields: dict[str, Any]) -> Any:
        left = record.horizon - self.clock.issue_time()
        packed = {
            "request": record.key,
            "lane": record.lane,
            "service": record.values["service"],
            "incarnation": stream.identity["incarnation"],
            "mark": record.mark,
            "model": record.values["model"],
            "adapter": record.values["adapter"],
            "prefix_digest": record.prefix_digest,
            "run": record.values["run"],
            "untilUs": stream.identity["nowUs"] + to_us(self.follower.valid_until() - stream.identified_at),
            "horizonMs": to_ms(max(left, ZERO)),
            **fields,
        }
        headers = {"User-Agent": f"dockmux/{self.name}"}
        return stream.call(method="POST", path=path, fields=packed, headers=headers)


WANTED = ("engine", "incarnation", "request", "prefix_digest", "model", "adapter")


class _Sending:
    """A stream on which the leg may be sent now, and the time that is left; turns every failure into one
    of the four above."""

    def __init__(self, *, legs: Legs, record: RequestRecord, engine: dict[str, Any], leg: str) -> None:
        self.legs = legs
        self.record = record
        self.engine = engine
        self.leg = leg
        self.opened: Any = None

    def __enter__(self) -> tuple[Any, Any]:
        self.opened = self.legs.connection_pool.open(engine=self.engine)
        try:
            stream = self.opened.__enter__()
        except OSError as error:
            raise NotSent(str(error)) from None
        if not self.legs.may_send(record=self.record, engine=self.engine, leg=self.leg):
            stream.reusable = True
            self.opened.__exit__(None, None, None)
            raise NotSent("not allowed any more")
        clock = self.legs.clock
        return stream, self.record.horizon - clock.issue_time() - clock.bound()

    def __exit__(self, kind: Any, error: Any, trace: Any) -> bool:
        self.opened.__exit__(None, None, None)
        if isinstance(error, (OSError, urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError, AttributeError)):
            raise Broken(f"{type(error).__name__}: {error}"[:200]) from None
        return False
