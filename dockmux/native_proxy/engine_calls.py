"""The two calls of a request, prefill and decode, each one HTTP exchange with one engine."""

from collections.abc import Callable
from typing import Any

from dockmux.clock.clock import Clock
from dockmux.native_proxy.config_subscription import ConfigSubscription
from dockmux.native_proxy.request_record import RequestRecord
from dockmux.runtime.bounded_json import parse_json
from dockmux.runtime.engine_connections import EngineConnectionPool
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_response import WIRE_ERRORS
from dockmux.runtime.time_units import ZERO, instant_us, to_ms, to_us

MAX_PIECES = 10_000
# All pieces of one answer, which are kept until the request is over.
MAX_PIECES_BYTES = 8 << 20


class NotSent(Exception):
    """The call wasn't started: no byte of the request has been sent."""


class KvCacheExpired(Exception):
    """The engine answered that it doesn't have the prompt's KV cache; it has run nothing."""


class CallRejected(Exception):
    """The engine answered that it hasn't run the call and won't: it is leaving, full, or in another phase."""


class CallFailed(Exception):
    """The call was started and didn't complete, or its response is invalid; what the engine ran is unknown."""


class EngineCalls:
    """Invariants:
    - `authorize_send` is called with a connection on which the engine has identified itself, and nothing blocks between
      its approval and the first byte;
    - a call states until when its configuration is certain to hold, in the engine's own clock (`untilUs`), so that the
      engine rejects a call that is late because this process was paused just then."""

    def __init__(
        self, *, host: Host, clock: Clock, connection_pool: EngineConnectionPool, authorize_send: Callable[..., bool],
        config_subscription: ConfigSubscription, name: str,
    ) -> None:  # fmt: skip
        self.config_subscription = config_subscription
        self.host = host
        self.clock = clock
        self.connection_pool = connection_pool
        self.authorize_send = authorize_send
        self.name = name

    def prefill(self, *, record: RequestRecord, engine: dict[str, Any]) -> None:
        """Has an engine run the prefill; stores the handle of the KV cache in the record.

        Raises NotSent, KvCacheExpired, CallRejected or CallFailed."""
        fields = {"prompt": record.body["prompt"], "prefix": record.body.get("prefix", "")}
        with self._engine_call(record=record, engine=engine, phase="prefill") as (connection, remaining):
            with time_limit(wait=remaining):
                response = self._send_request(record=record, connection=connection, path="/prefill", fields=fields)
                reply = parse_json(data=response.read())
                connection.reusable = True
            self._raise_for_status(response=response, reply=reply)
            handle = reply["memory"]
            if self._expected_kv_handle(record=record, connection=connection) != {
                k: handle[k] for k in KV_HANDLE_FIELDS
            }:
                raise CallFailed("the memory's tag is not the one asked for")
            record.kv_handle, record.prefill_engine = handle, engine

    def _expected_kv_handle(self, *, record: RequestRecord, connection: Any) -> dict[str, Any]:
        return {
            "engine": connection.identity["engine"],
            "incarnation": connection.identity["incarnation"],
            "request": record.key,
            "prefix_digest": record.prefix_digest,
            "model": record.lane_settings["model"],
            "adapter": record.lane_settings["adapter"],
        }

    def decode(self, *, record: RequestRecord, engine: dict[str, Any]) -> None:
        """Has an engine stream the answer; adds its pieces to the record as they arrive. Raises as `prefill` does."""
        start = record.first_piece + len(record.pieces)
        fields = {
            "memory": record.kv_handle,
            "source": record.prefill_engine["address"],
            "pieces": record.body.get("pieces"),
            "from": start,
        }
        with self._engine_call(record=record, engine=engine, phase="decode") as (connection, remaining):
            with time_limit(wait=remaining):
                response = self._send_request(record=record, connection=connection, path="/decode", fields=fields)
                if response.status != 200:
                    reply = parse_json(data=response.read())
                    connection.reusable = True
                    self._raise_for_status(response=response, reply=reply)
                self._relay(record=record, response=response, start=start)
                connection.reusable = True

    def _relay(self, *, record: RequestRecord, response: Any, start: int) -> None:
        """Reads the stream of pieces. Nothing is relayed before the engine has echoed the KV cache handle."""
        expected = start
        handle_echoed = False
        lines = response.lines(limit_bytes=MAX_PIECES_BYTES)
        for line in lines:
            if expected > MAX_PIECES:
                raise CallFailed("the answer is too large")
            reply = parse_json(data=line)
            if not handle_echoed:
                if reply.get("memory") != record.kv_handle:
                    raise CallFailed("the engine goes on from another memory")
                handle_echoed = True
                record.stage_ends["hand_over"] = self.host.elapsed()
            elif "end" in reply:
                if reply["count"] != expected or next(lines, None) is not None:
                    raise CallFailed("the answer's end does not fit its pieces")
                return
            else:
                if reply["n"] != expected or reply["request"] != record.key:
                    raise CallFailed(f"piece {reply['n']} came where {expected} was due")
                expected += 1
                record.add_piece(text=reply["text"], stamp_us=instant_us(self.clock.issue_time()))
        raise CallFailed("the answer was cut")

    def _raise_for_status(self, *, response: Any, reply: Any) -> None:
        if response.status == 410:
            raise KvCacheExpired(reply.get("why", ""))
        if response.status in (409, 503):
            raise CallRejected(reply.get("why", ""))
        if response.status != 200:
            raise CallFailed(f"the engine answered {response.status}")

    def _engine_call(self, *, record: RequestRecord, engine: dict[str, Any], phase: str) -> "_EngineCall":
        return _EngineCall(calls=self, record=record, engine=engine, phase=phase)

    def _send_request(self, *, record: RequestRecord, connection: Any, path: str, fields: dict[str, Any]) -> Any:
        remaining = record.deadline - self.clock.issue_time()
        body = {
            "request": record.key,
            "lane": record.lane,
            "service": record.lane_settings["service"],
            "incarnation": connection.identity["incarnation"],
            "mark": record.mark,
            "model": record.lane_settings["model"],
            "adapter": record.lane_settings["adapter"],
            "prefix_digest": record.prefix_digest,
            "run": record.lane_settings["run"],
            "untilUs": connection.identity["nowUs"]
            + to_us(self.config_subscription.call_valid_until() - connection.identified_at),
            "horizonMs": to_ms(max(remaining, ZERO)),
            **fields,
        }
        headers = {"User-Agent": f"dockmux/{self.name}"}
        return connection.call(method="POST", path=path, fields=body, headers=headers)


KV_HANDLE_FIELDS = ("engine", "incarnation", "request", "prefix_digest", "model", "adapter")


class _EngineCall:
    """Context manager: gives a connection on which the call may be sent now, and the time left; turns every failure
    into one of the four exceptions above."""

    def __init__(self, *, calls: EngineCalls, record: RequestRecord, engine: dict[str, Any], phase: str) -> None:
        self.calls = calls
        self.record = record
        self.engine = engine
        self.phase = phase
        self.opened: Any = None

    def __enter__(self) -> tuple[Any, Any]:
        self.opened = self.calls.connection_pool.open(engine=self.engine)
        try:
            connection = self.opened.__enter__()
        except OSError as error:
            raise NotSent(str(error)) from None
        if not self.calls.authorize_send(record=self.record, engine=self.engine, phase=self.phase):
            connection.reusable = True
            self.opened.__exit__(None, None, None)
            raise NotSent("no longer allowed")
        clock = self.calls.clock
        return connection, self.record.deadline - clock.issue_time() - clock.bound()

    def __exit__(self, kind: Any, error: Any, trace: Any) -> bool:
        self.opened.__exit__(None, None, None)
        if isinstance(error, WIRE_ERRORS):
            raise CallFailed(f"{type(error).__name__}: {error}"[:200]) from None
        return False
