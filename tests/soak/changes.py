"""The operator of a run: changes one after the other, raced, invalid, sent again; and reads."""

import asyncio
import json
import random

from tests.soak.clients import TRIES, Clients
from tests.soak.history import Change, Kind, Read
from tests.soak.machines import SERVICE, Machines
from tests.soak.wire import call
from tests.standins.operator import configuration, route

CALL_S = 1.0
PAUSE_S = 0.2
TYPES = {Kind.RESUMED: "sse", Kind.STREAM: "sse", Kind.REPEATABLE: "idem", Kind.ONCE: "mut"}


class Changes:
    """Invariant: `version` is the newest version that was acknowledged to this operator, `routes` its added ones."""

    def __init__(self, *, machines: Machines, clients: Clients) -> None:
        self.machines = machines
        self.clients = clients
        self.random = random.Random(f"changes-{machines.plan.seed}")
        self.version = 0
        self.routes: list[tuple[str, Kind]] = []
        self.ending = False

    def text(self, *, version: int, routes: list[tuple[str, Kind]], valid: bool = True) -> bytes:
        fields = configuration(gen=version)
        for prefix, kind in routes:
            row = route(name=prefix, prefix=f"/{prefix}/", kind=TYPES[kind], resume=kind is Kind.RESUMED, tries=TRIES)
            fields["rtab"].append(row)
        fields["svcs"] = [row for row in fields["svcs"] if row["name"] == SERVICE]
        if not valid:
            fields["rtab"][0]["svc"] = "nobody"
        return json.dumps(fields).encode()

    async def put(self, *, version: int, base: int, text: bytes, valid: bool = True, limit_s: float = 12.0) -> Change:
        """Sends a change to one core after the other until its answer is clear."""
        machines = self.machines
        change = Change(version=version, base=base, valid=valid, text=text, sent_at=machines.now())
        machines.history.changes.append(change)
        place, pause = self.random.randrange(len(machines.controls)), PAUSE_S
        fields = {"Content-Type": "application/json", "X-Base-Version": str(base)}
        while machines.now() - change.sent_at < limit_s:
            controls = machines.controls
            status, _ = await call(
                address=controls[place % len(controls)], method="POST", target="/dockmux/config/put", fields=fields,
                body=text, limit_s=CALL_S,
            )  # fmt: skip
            if status == 200 or 400 <= status < 500 and status not in (408, 429):
                change.status, change.answered_at = status, machines.now()
                break
            place += 1
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 1.0)
        return change

    async def read(self, *, last: bool = False) -> bool:
        sent_at = self.machines.now()
        address = self.random.choice(self.machines.controls)
        status, text = await call(address=address, method="GET", target="/dockmux/config/get", limit_s=CALL_S)
        if status != 200:
            return False
        row = Read(sent_at=sent_at, version=json.loads(text)["gen"], text=text, last=last)
        self.machines.history.reads.append(row)
        return True

    async def found(self) -> bool:
        """The first configuration, until it is taken."""
        change = await self.put(version=1, base=0, text=self.text(version=1, routes=[]), limit_s=30)
        self.version = 1
        return change.status == 200

    async def run(self) -> None:
        while not self.ending:
            await asyncio.sleep(self.random.uniform(0.3, 2.5))
            await self.read()
            draw = self.random.random()
            if draw < 0.15:
                version = self.version + 1
                await self.put(
                    version=version, base=self.version, valid=False,
                    text=self.text(version=version, routes=self.routes, valid=False),
                )  # fmt: skip
            elif draw < 0.35:
                await self._race()
            else:
                await self._add()

    async def _add(self) -> None:
        version = self.version + self.random.randrange(1, 4)
        kind = self.random.choice(tuple(Kind))
        routes = [*self.routes, (f"r{version}", kind)][-12:]
        text = self.text(version=version, routes=routes)
        change = await self.put(version=version, base=self.version, text=text)
        if change.status == 200:
            again = self.random.random() < 0.3
            base = self.version
            self._took(change=change, routes=routes)
            if again:
                await self.put(version=version, base=base, text=text)
        elif change.status == 0:
            await self._learn()

    async def _race(self) -> None:
        version, kind = self.version + 1, self.random.choice(tuple(Kind))
        sides = [[*self.routes, (f"r{version}{side}", kind)][-12:] for side in "ab"]
        texts = [self.text(version=version, routes=routes) for routes in sides]
        changes = await asyncio.gather(
            *(self.put(version=version, base=self.version, text=text) for text in texts)
        )  # fmt: skip
        for change, routes in zip(changes, sides, strict=True):
            if change.status == 200:
                self._took(change=change, routes=routes)
                return
        await self._learn()

    def _took(self, *, change: Change, routes: list[tuple[str, Kind]]) -> None:
        self.version = change.version
        for prefix, kind in routes:
            if (prefix, kind) not in self.routes:
                self.clients.added[prefix] = (kind, change.answered_at)
        # What is dropped is asked for no more.
        self.clients.added = {prefix: row for prefix, row in self.clients.added.items() if (prefix, row[0]) in routes}
        self.routes = routes

    async def _learn(self) -> None:
        """What is in force, where answers were not clear."""
        for _ in range(30):
            if await self.read():
                text = self.machines.history.reads[-1].text
                fields = json.loads(text)
                kinds = {(kind_type, kind is Kind.RESUMED): kind for kind, kind_type in TYPES.items()}
                self.version = fields["gen"]
                self.routes = [
                    (row["name"], kinds[row["type"], row["resume"]])
                    for row in fields["rtab"]
                    if row["name"].startswith("r") and row["name"][1:2].isdigit()
                ]
                self.clients.added = {
                    prefix: (kind, self.machines.now()) for prefix, kind in self.routes
                }  # fmt: skip
                return
            await asyncio.sleep(0.5)
