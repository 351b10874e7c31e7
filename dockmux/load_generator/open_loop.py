"""Open-loop load: arrivals come when they come, whatever became of those before."""

import dataclasses
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from dockmux.engine_emulator import model
from dockmux.load_generator.client import Attempt, LoadRequest, send
from dockmux.local_fleet.fleet_plan import FleetPlan
from dockmux.runtime.config_tree import resolve
from dockmux.runtime.host import Host
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ms

LETTERS = "abcdefghijklmnopqrstuvwxyz     "

# With these there is nothing more to ask for.
FINAL = {"answered", "bad_identity"}


class OpenLoopLoad:
    """Invariants: `seen` has a row for every attempt; a user agent that repeats its request, up to `patience`
    times, does so under the same identity, after the time that it was told, and at another edge; three of four tell
    which attempt it is. `trees` are the configurations that may come into use."""

    def __init__(
        self, *, host: Host, plan: FleetPlan, seed: int, label: str = "u", patience: int = 0, trees: Any = ()
    ) -> None:
        self.host = host
        self.plan = plan
        self.random = random.Random(seed)
        self.label = f"{label}{seed}"
        self.patience = patience
        self.seen: list[Attempt] = []
        self.asks: list[LoadRequest] = []
        self.number = 0
        self.until: timedelta | None = None
        tree = plan.tree
        self.trees = [tree, *trees]
        self.runs = {lane: resolve(tree=tree, lane=lane, site="")["run"] for lane in tree["lanes"]}
        self.prefixes: dict[tuple[str, int], str] = {}

    def _text(self, *, sizeBytes: int) -> str:
        return "".join(self.random.choices(LETTERS, k=max(sizeBytes, 1)))

    def _prefix(self, *, kind: dict[str, Any]) -> str:
        place = (kind["lane"], self.random.randrange(kind["prefixes"]))
        if place not in self.prefixes:
            self.prefixes[place] = self._text(sizeBytes=kind["prefixBytes"])
        return self.prefixes[place]

    def _kind(self, *, swing: str) -> dict[str, Any]:
        """One of the mix; under a swing, of the heaviest to read or to write."""
        mix = self.plan.mix
        if swing == "prompts":
            return max(mix, key=lambda kind: kind["promptBytes"] + kind["prefixBytes"])
        if swing == "answers":
            return max(mix, key=lambda kind: kind["pieces"][1])
        return self.random.choices(mix, weights=[kind["weight"] for kind in mix])[0]

    def ask(self, *, kind: dict[str, Any]) -> LoadRequest:
        """The next request, of one kind of the mix."""
        edge = self.random.choice(self.plan.edges)
        self.number += 1
        identity = f"{self.label}-{self.number}"
        low, high = kind["pieces"]
        body = {
            "prefix": self._prefix(kind=kind),
            "prompt": self._text(sizeBytes=int(kind["promptBytes"] * self.random.uniform(0.5, 1.5))),
            "pieces": self.random.randint(low, high),
        }
        sites = {edge["site"] for edge in self.plan.edges}
        found = [resolve(tree=tree, lane=kind["lane"], site=site) for tree in self.trees for site in sorted(sites)]
        models = sorted({(v["model"], v["adapter"]) for v in found if v is not None}, key=repr)
        request = f"{kind['lane']}/{identity}"
        answers = [model.expected(request=request, model=name, adapter=adapter, body=body) for name, adapter in models]
        return LoadRequest(
            lane=kind["lane"], identity=identity, body=body, answers=answers, numbered=self.number % 4 != 0,
            horizon=ms(max(v["horizonMs"] for v in found if v is not None)), edge=edge["http"],
        )  # fmt: skip

    def _attempts(self, *, ask: LoadRequest, seen: Attempt, since: timedelta, resumable: bool) -> None:
        """One user agent: asks, and asks again when told to come back or left without an outcome."""
        send(host=self.host, ask=ask, seen=seen, since=since)
        for _ in range(self.patience):
            if seen.kind in FINAL:
                return
            last = seen
            self.host.sleep(wait=max(ms(seen.retryMs), ms(200)) * self.random.uniform(1, 1.5))
            ask = dataclasses.replace(ask, edge=self.random.choice(self.plan.edges)["http"])
            seen = Attempt(
                lane=ask.lane, identity=ask.identity, edge=ask.edge, intended=self.host.elapsed() - since,
                attempt=last.attempt + 1,
            )  # fmt: skip
            if resumable and last.count and last.kind in ("cut", "failed"):
                seen.start, seen.answer, seen.fits = last.count, last.answer, last.fits
            self.seen.append(seen)
            send(host=self.host, ask=ask, seen=seen, since=since)

    def again(self, *, lane_runs: str, most: int, since: timedelta) -> None:
        """Repeats the last requests of some lanes under their identities, answered or not."""
        asks = [ask for ask in self.asks if self.runs[ask.lane] == lane_runs][-most:]
        for ask in asks:
            attempt = 1 + max(seen.attempt for seen in self.seen if seen.identity == ask.identity)
            now = self.host.elapsed() - since
            seen = Attempt(lane=ask.lane, identity=ask.identity, edge=ask.edge, intended=now, attempt=attempt)
            self.seen.append(seen)
            send(host=self.host, ask=ask, seen=seen, since=since)

    def run(
        self,
        *,
        lasts: timedelta,
        since: timedelta,
        rate: Callable[[timedelta], float] | None = None,
        swing: Any = None,
    ) -> None:
        """Sends until the time is over, then waits until every stream has ended."""
        with TaskGroup(host=self.host) as task_group:
            tasks = []
            due = self.host.elapsed() - since
            end = due + lasts
            while True:
                perSecond = rate(due) if rate else self.plan.perSecond
                due += timedelta(seconds=self.random.expovariate(perSecond))
                if due >= (end if self.until is None else min(end, self.until)):
                    break
                ask = self.ask(kind=self._kind(swing=getattr(swing, "swing", "")))
                seen = Attempt(lane=ask.lane, identity=ask.identity, edge=ask.edge, intended=due)
                self.seen.append(seen)
                self.asks.append(ask)
                self.host.sleep(wait=since + due - self.host.elapsed())
                resumable = self.runs[ask.lane] == "resumable"
                tasks.append(
                    task_group.start(task=self._attempts, ask=ask, seen=seen, since=since, resumable=resumable)
                )
            for task in tasks:
                task.wait()
