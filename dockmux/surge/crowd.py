"""Open-loop load: arrivals come when they come, whatever became of those before."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from dockmux.accord.crew import Crew
from dockmux.accord.host import Host
from dockmux.accord.span import ms
from dockmux.guise import model
from dockmux.pact.tree import resolve
from dockmux.stage.plan import Plan
from dockmux.surge.agent import Ask, Seen, send

LETTERS = "abcdefghijklmnopqrstuvwxyz     "


class Crowd:
    """Invariant: `seen` has a row for every arrival, in the order of the intended times."""

    def __init__(self, *, host: Host, plan: Plan, seed: int, label: str = "u") -> None:
        self.host = host
        self.plan = plan
        self.random = random.Random(seed)
        self.label = f"{label}{seed}"
        self.seen: list[Seen] = []
        self.asks: list[Ask] = []
        self.number = 0
        self.prefixes: dict[tuple[str, int], str] = {}

    def _text(self, *, sizeBytes: int) -> str:
        return "".join(self.random.choices(LETTERS, k=max(sizeBytes, 1)))

    def _prefix(self, *, kind: dict[str, Any]) -> str:
        place = (kind["lane"], self.random.randrange(kind["prefixes"]))
        if place not in self.prefixes:
            self.prefixes[place] = self._text(sizeBytes=kind["prefixBytes"])
        return self.prefixes[place]

    def ask(self, *, kind: dict[str, Any] | None = None) -> Ask:
        """The next request of the mix, or of one kind of it."""
        mix = self.plan.mix
        kind = kind or self.random.choices(mix, weights=[k["weight"] for k in mix])[0]
        edge = self.random.choice(self.plan.edges)
        self.number += 1
        identity = f"{self.label}-{self.number}"
        low, high = kind["pieces"]
        body = {
            "prefix": self._prefix(kind=kind),
            "prompt": self._text(sizeBytes=int(kind["promptBytes"] * self.random.uniform(0.5, 1.5))),
            "pieces": self.random.randint(low, high),
        }
        values = resolve(tree=self.plan.tree, lane=kind["lane"], site=edge["site"])
        texts = model.expected(
            request=f"{kind['lane']}/{identity}", model=values["model"], adapter=values["adapter"], body=body
        )
        return Ask(
            lane=kind["lane"], identity=identity, body=body, texts=texts,
            horizon=ms(values["horizonMs"]), edge=edge["http"],
        )  # fmt: skip

    def run(self, *, lasts: timedelta, since: timedelta, rate: Callable[[timedelta], float] | None = None) -> None:
        """Sends until the time is over, then waits until every stream has ended."""
        with Crew(host=self.host) as crew:
            tasks = []
            due = self.host.elapsed() - since
            end = due + lasts
            while True:
                perSecond = rate(due) if rate else self.plan.perSecond
                due += timedelta(seconds=self.random.expovariate(perSecond))
                if due >= end:
                    break
                ask = self.ask()
                seen = Seen(lane=ask.lane, identity=ask.identity, edge=ask.edge, intended=due)
                self.seen.append(seen)
                self.asks.append(ask)
                self.host.sleep(wait=since + due - self.host.elapsed())
                tasks.append(crew.start(task=send, host=self.host, ask=ask, seen=seen, since=since))
            for task in tasks:
                task.wait()
