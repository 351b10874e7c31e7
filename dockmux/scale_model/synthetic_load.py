"""Data daemons that run the full control protocol under synthetic load: the data plane handles no requests."""

import dataclasses
import random

from dockmux.platform_proxy.edge import Edge
from dockmux.platform_proxy.load_tracker import Load
from dockmux.runtime.host import Host
from dockmux.runtime.time_units import ms


@dataclasses.dataclass(frozen=True, kw_only=True)
class TrafficShare:
    """One daemon's share of the fleet's traffic, which is the traffic of the whole fleet divided by its daemons.

    Invariant: `streams` and `prompts` are the numbers open at any time; `prompt_ms` is the prefill backlog of a prompt.
    """

    requests_per_s: float = 11.0
    streams: int = 105
    prompts: int = 4
    prompt_ms: int = 350


class SyntheticLoadEdge(Edge):
    """A data daemon without request traffic.

    Invariant: `load_tracker.local_loads` holds what the data plane would have entered for this share of the traffic;
    all other state and messages come from the unmodified daemon.
    """

    share = TrafficShare()

    def start_load(self) -> None:
        """Initializes the synthetic load, with random choices seeded by the daemon's name."""
        self.load_random = random.Random(f"load-{self.settings.name}")
        self.open_streams: list[str] = []
        self.open_prompts: list[str] = []
        self.due_requests = 0.0

    def advance(self, *, span_s: float) -> None:
        """Replaces the streams and prompts that would end in `span_s` seconds and updates the local loads."""
        rows = self.directory.rows.values()
        decode_engines = [row.engine for row in rows if row.phase != "prefill"]
        prefill_engines = [row.engine for row in rows if row.phase == "prefill"] or decode_engines
        if not decode_engines:
            return
        self.due_requests += self.share.requests_per_s * span_s
        while len(self.open_streams) < self.share.streams:
            self.open_streams.append(self.load_random.choice(decode_engines))
        while len(self.open_prompts) < self.share.prompts:
            self.open_prompts.append(self.load_random.choice(prefill_engines))
        while self.due_requests >= 1:
            self.due_requests -= 1
            self.open_streams[self.load_random.randrange(len(self.open_streams))] = self.load_random.choice(
                decode_engines
            )
            self.open_prompts[self.load_random.randrange(len(self.open_prompts))] = self.load_random.choice(
                prefill_engines
            )
        local_loads: dict[str, Load] = {}
        for engine in self.open_streams:
            local_loads.setdefault(engine, Load()).streams += 1
        for engine in self.open_prompts:
            load = local_loads.setdefault(engine, Load())
            load.prefills += 1
            load.prefill_backlog += ms(self.share.prompt_ms)
        self.load_tracker.local_loads = local_loads


def run_synthetic_load(*, host: Host, edges: list[SyntheticLoadEdge]) -> None:
    """Updates the synthetic load of all daemons until the process ends.

    Runs in a separate process, so that its processor time does not count as control work of the daemons.
    """
    span_s = 0.2
    while True:
        for edge in edges:
            if not hasattr(edge, "load_random"):
                edge.start_load()
            edge.advance(span_s=span_s)
        host.sleep(wait=ms(span_s * 1000))
