"""The operator of a run: sends configuration changes (valid, invalid, concurrent, repeated) and reads them back."""

import asyncio
import json
import random

from tests.soak.asyncio_http import exchange
from tests.soak.clients import MAX_ATTEMPTS, Clients
from tests.soak.history import ConfigChange, ConfigRead, RequestKind
from tests.soak.machines import SERVICE, Machines
from tests.standins.operator import configuration, route

CALL_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.2
ROUTE_TYPES = {
    RequestKind.RESUMED: "sse",
    RequestKind.STREAM: "sse",
    RequestKind.REPEATABLE: "idem",
    RequestKind.ONCE: "mut",
}


class ConfigOperator:
    """Changes the configuration at the cores and records each change and read.

    Invariant: `version` is the newest version that was acknowledged to this operator, `routes` are the routes that it
    adds to the first configuration.
    """

    def __init__(self, *, machines: Machines, clients: Clients) -> None:
        self.machines = machines
        self.clients = clients
        self.rng = random.Random(f"changes-{machines.plan.seed}")
        self.version = 0
        self.routes: list[tuple[str, RequestKind]] = []
        self.stopping = False

    def configuration_text(self, *, version: int, routes: list[tuple[str, RequestKind]], valid: bool = True) -> bytes:
        """A configuration with these routes added; an invalid one has a route to an unknown service."""
        fields = configuration(gen=version)
        for prefix, kind in routes:
            row = route(
                name=prefix,
                prefix=f"/{prefix}/",
                kind=ROUTE_TYPES[kind],
                resume=kind is RequestKind.RESUMED,
                tries=MAX_ATTEMPTS,
            )
            fields["rtab"].append(row)
        fields["svcs"] = [row for row in fields["svcs"] if row["name"] == SERVICE]
        if not valid:
            fields["rtab"][0]["svc"] = "nobody"
        return json.dumps(fields).encode()

    async def put(
        self, *, version: int, base_version: int, text: bytes, valid: bool = True, timeout_s: float = 12.0
    ) -> ConfigChange:
        """Sends a change to one core after the other until an answer is definite or `timeout_s` is over."""
        machines = self.machines
        change = ConfigChange(
            version=version, base_version=base_version, valid=valid, text=text, sent_at=machines.now()
        )
        machines.history.changes.append(change)
        core, pause_s = self.rng.randrange(len(machines.control_addresses)), RETRY_PAUSE_S
        fields = {"Content-Type": "application/json", "X-Base-Version": str(base_version)}
        while machines.now() - change.sent_at < timeout_s:
            control_addresses = machines.control_addresses
            status, _ = await exchange(
                address=control_addresses[core % len(control_addresses)], method="POST", target="/dockmux/config/put",
                fields=fields, body=text, timeout_s=CALL_TIMEOUT_S,
            )  # fmt: skip
            if status == 200 or 400 <= status < 500 and status not in (408, 429):
                change.status, change.answered_at = status, machines.now()
                break
            core += 1
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 1.5, 1.0)
        return change

    async def read(self, *, is_final: bool = False) -> bool:
        """Reads the configuration from a random core and records it; False if the answer is not 200."""
        sent_at = self.machines.now()
        address = self.rng.choice(self.machines.control_addresses)
        status, text = await exchange(
            address=address, method="GET", target="/dockmux/config/get", timeout_s=CALL_TIMEOUT_S
        )
        if status != 200:
            return False
        config_read = ConfigRead(sent_at=sent_at, version=json.loads(text)["gen"], text=text, is_final=is_final)
        self.machines.history.config_reads.append(config_read)
        return True

    async def put_first(self) -> bool:
        """Sends the first configuration; whether it was acknowledged within 30 s."""
        change = await self.put(
            version=1, base_version=0, text=self.configuration_text(version=1, routes=[]), timeout_s=30
        )
        self.version = 1
        return change.status == 200

    async def run(self) -> None:
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(0.3, 2.5))
            await self.read()
            draw = self.rng.random()
            if draw < 0.15:
                version = self.version + 1
                await self.put(
                    version=version, base_version=self.version, valid=False,
                    text=self.configuration_text(version=version, routes=self.routes, valid=False),
                )  # fmt: skip
            elif draw < 0.35:
                await self._race_two_changes()
            else:
                await self._add_route()

    async def _add_route(self) -> None:
        version = self.version + self.rng.randrange(1, 4)
        kind = self.rng.choice(tuple(RequestKind))
        routes = [*self.routes, (f"r{version}", kind)][-12:]
        text = self.configuration_text(version=version, routes=routes)
        change = await self.put(version=version, base_version=self.version, text=text)
        if change.status == 200:
            send_again = self.rng.random() < 0.3
            base_version = self.version
            self._accept(change=change, routes=routes)
            if send_again:
                await self.put(version=version, base_version=base_version, text=text)
        elif change.status == 0:
            await self._read_current()

    async def _race_two_changes(self) -> None:
        version, kind = self.version + 1, self.rng.choice(tuple(RequestKind))
        alternatives = [[*self.routes, (f"r{version}{side}", kind)][-12:] for side in "ab"]
        texts = [self.configuration_text(version=version, routes=routes) for routes in alternatives]
        changes = await asyncio.gather(
            *(self.put(version=version, base_version=self.version, text=text) for text in texts)
        )  # fmt: skip
        for change, routes in zip(changes, alternatives, strict=True):
            if change.status == 200:
                self._accept(change=change, routes=routes)
                return
        await self._read_current()

    def _accept(self, *, change: ConfigChange, routes: list[tuple[str, RequestKind]]) -> None:
        self.version = change.version
        for prefix, kind in routes:
            if (prefix, kind) not in self.routes:
                self.clients.added_routes[prefix] = (kind, change.answered_at)
        # Clients no longer use the routes that this change has removed.
        self.clients.added_routes = {
            prefix: row for prefix, row in self.clients.added_routes.items() if (prefix, row[0]) in routes
        }
        self.routes = routes

    async def _read_current(self) -> None:
        """Reads which configuration is in force, after changes without a definite answer."""
        for _ in range(30):
            if await self.read():
                text = self.machines.history.config_reads[-1].text
                fields = json.loads(text)
                kinds = {(kind_type, kind is RequestKind.RESUMED): kind for kind, kind_type in ROUTE_TYPES.items()}
                self.version = fields["gen"]
                self.routes = [
                    (row["name"], kinds[row["type"], row["resume"]])
                    for row in fields["rtab"]
                    if row["name"].startswith("r") and row["name"][1:2].isdigit()
                ]
                self.clients.added_routes = {
                    prefix: (kind, self.machines.now()) for prefix, kind in self.routes
                }  # fmt: skip
                return
            await asyncio.sleep(0.5)
