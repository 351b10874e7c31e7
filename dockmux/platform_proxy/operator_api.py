"""The control daemon's operator interface for deployments whose operators number their configurations themselves."""

from collections.abc import Iterable
from typing import Any

from dockmux.platform_proxy.protocol_adapter import ProtocolAdapter
from dockmux.platform_proxy.routes import BadConfig
from dockmux.runtime.http_transport import HttpExchange
from dockmux.runtime.outcomes import Outcome, OutcomeKind


class OperatorApi:
    """Invariants: a configuration is validated before it enters the chain, and returned byte for byte; it is
    acknowledged only after the chain has acknowledged it."""

    def __init__(self, *, core: Any, protocol: ProtocolAdapter) -> None:
        self.core = core
        self.protocol = protocol

    def handle_http(self, exchange: HttpExchange) -> Iterable[bytes]:
        """Handles the configuration paths; all others are passed on to the control daemon."""
        if exchange.path == self.protocol.put_path:
            if exchange.method != "POST":
                return exchange.respond(
                    outcome=Outcome(kind=OutcomeKind.BAD_METHOD, detail={"method": exchange.method})
                )
            return exchange.respond(outcome=self._put(exchange=exchange))
        if exchange.path == self.protocol.get_path:
            return self._get(exchange=exchange)
        return self.core.handle_http(exchange)

    def _put(self, *, exchange: HttpExchange) -> Outcome:
        limit_bytes = self.core.settings.bodyLimitKb * 1024
        data = exchange.body(limit_bytes=limit_bytes)
        if data is None:
            return Outcome(kind=OutcomeKind.TOO_LARGE, detail={"limitKb": limit_bytes // 1024})
        based_on = self.protocol.base_version(headers=exchange.headers)
        if based_on is None:
            return Outcome(kind=OutcomeKind.MARK_MISSING, detail={"why": "name the version that you started from"})
        try:
            text = data.decode()
            table = self.protocol.check_config(text=text)
        except (UnicodeDecodeError, BadConfig) as error:
            return Outcome(kind=OutcomeKind.INVALID, detail={"errors": [str(error)]})
        change = {"kind": "config", "tree": {"text": text}, "version": table.version, "based_on": based_on}
        return self.core.chain.write(change=change)

    def _get(self, *, exchange: HttpExchange) -> Iterable[bytes]:
        """Answers with the newest acknowledged configuration, as it was sent."""
        if not self.core.chain.confirm_read():
            why = {"why": "the tail did not confirm under its permit"}
            return exchange.respond(outcome=Outcome(kind=OutcomeKind.NO_MAJORITY, detail=why))
        config = self.core.chain.state.config
        if config is None:
            return exchange.respond(outcome=Outcome(kind=OutcomeKind.NOT_READY, detail={"why": "no configuration yet"}))
        data = config.tree["text"].encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
        exchange.begin(status=200, headers=headers)
        return [data]
