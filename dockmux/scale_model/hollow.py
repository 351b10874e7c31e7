"""Daemons that hold the real state and speak the real messages on the real schedule, but carry no traffic."""

import dataclasses
import random

from dockmux.platform_proxy.edge import Edge
from dockmux.platform_proxy.load_tracker import Load
from dockmux.runtime.host import Host
from dockmux.runtime.time_units import ms


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """One daemon's part of the fleet's traffic. Invariant: all are counts of what is open at once or comes in a second,
    as the traffic of the whole fleet divided by its daemons."""

    requests_per_s: float = 11.0
    streams: int = 105
    prompts: int = 4
    prompt_ms: int = 350


class HollowEdge(Edge):
    """The data daemon with its data plane left out. Invariant: `load_tracker.local_loads` is what a data plane
    with this share of the traffic would have entered there; nothing else is made up."""

    share = Share()

    def begin_load(self) -> None:
        self.drawn = random.Random(f"load-{self.settings.name}")
        self.open_streams: list[str] = []
        self.open_prompts: list[str] = []
        self.owed = 0.0

    def carry(self, *, span_s: float) -> None:
        """As many streams and prompts end and begin as would in this span."""
        rows = self.directory.rows.values()
        writers = [row.engine for row in rows if row.phase != "prefill"]
        readers = [row.engine for row in rows if row.phase == "prefill"] or writers
        if not writers:
            return
        self.owed += self.share.requests_per_s * span_s
        while len(self.open_streams) < self.share.streams:
            self.open_streams.append(self.drawn.choice(writers))
        while len(self.open_prompts) < self.share.prompts:
            self.open_prompts.append(self.drawn.choice(readers))
        while self.owed >= 1:
            self.owed -= 1
            self.open_streams[self.drawn.randrange(len(self.open_streams))] = self.drawn.choice(writers)
            self.open_prompts[self.drawn.randrange(len(self.open_prompts))] = self.drawn.choice(readers)
        own: dict[str, Load] = {}
        for engine in self.open_streams:
            own.setdefault(engine, Load()).streams += 1
        for engine in self.open_prompts:
            load = own.setdefault(engine, Load())
            load.prefills += 1
            load.prefill_backlog += ms(self.share.prompt_ms)
        self.load_tracker.local_loads = own


def run_load(*, host: Host, edges: list[HollowEdge]) -> None:
    """Carries every hollow daemon's load for ever, in a process of its own, so that none of it counts as control."""
    span_s = 0.2
    while True:
        for edge in edges:
            if not hasattr(edge, "drawn"):
                edge.begin_load()
            edge.carry(span_s=span_s)
        host.sleep(wait=ms(span_s * 1000))
