"""Hollow daemons against real ones, and the slopes' arithmetic."""

import contextlib
import random
from datetime import timedelta

import pytest

from dockmux.platform_proxy.edge import MAINTENANCE_INTERVAL, REPORT_FANOUT, REPORT_INTERVAL, Edge
from dockmux.runtime.time_units import ms
from dockmux.scale_model.fleet import Size, figures, fleet, measure
from dockmux.scale_model.hollow import HollowEdge, Share
from dockmux.scale_model.slopes import line, power, slopes, table

WORDS = "platform/platform_adapter.py"
SIZE = Size(daemons=8, engines=60, models=4, cores=3, zones=3, real=4)
WATCHED_S = 10.0


class Traffic:
    """A share of the traffic, entered into a real daemon by its data plane's own doors, `LoadTracker.streaming` and
    `LoadTracker.prefilling`. Invariant: `streams` and `prompts` hold one entered context for each that is open."""

    def __init__(self, *, edge: Edge, share: Share) -> None:
        self.edge = edge
        self.share = share
        self.drawn = random.Random(f"traffic-{edge.settings.name}")
        self.streams: list[contextlib.ExitStack] = []
        self.prompts: list[contextlib.ExitStack] = []
        self.owed = 0.0

    def _stream(self) -> contextlib.ExitStack:
        writers = [row.engine for row in self.edge.directory.rows.values() if row.phase != "prefill"]
        opened = contextlib.ExitStack()
        opened.enter_context(self.edge.load_tracker.streaming(engine=self.drawn.choice(writers)))
        return opened

    def _prompt(self) -> contextlib.ExitStack:
        readers = [row.engine for row in self.edge.directory.rows.values() if row.phase == "prefill"]
        opened = contextlib.ExitStack()
        engine = self.drawn.choice(readers)
        opened.enter_context(self.edge.load_tracker.prefilling(engine=engine, span=ms(self.share.prompt_ms)))
        return opened

    def carry(self, *, span_s: float) -> None:
        while len(self.streams) < self.share.streams:
            self.streams.append(self._stream())
        while len(self.prompts) < self.share.prompts:
            self.prompts.append(self._prompt())
        self.owed += self.share.requests_per_s * span_s
        while self.owed >= 1:
            self.owed -= 1
            self.streams.pop(self.drawn.randrange(len(self.streams))).close()
            self.streams.append(self._stream())
            self.prompts.pop(self.drawn.randrange(len(self.prompts))).close()
            self.prompts.append(self._prompt())


def near(*, found: float, wanted: float, part: float) -> bool:
    return abs(found - wanted) <= part * max(abs(wanted), 1e-9)


def test_a_hollow_daemon_speaks_and_holds_what_a_real_one_does():
    with fleet(size=SIZE, seed=7, words=WORDS) as made:
        made.up()
        real = [edge for edge in made.edges.values() if not isinstance(edge, HollowEdge)]
        hollow = made.hollow
        assert len(real) == SIZE.real and len(hollow) == SIZE.daemons - SIZE.real
        traffic = [Traffic(edge=edge, share=HollowEdge.share) for edge in real]
        for step in range(int(WATCHED_S / 0.2) + 10):
            if step == 10:
                made.reset()
            for carried in traffic:
                carried.carry(span_s=0.2)
            made.operator.sleep(wait=ms(200))
        # The first in the order asks for the list besides; it is left out on its side.
        asker = made.roles()["list asker"][0]
        told = {}
        for side, edges in (("real", real), ("hollow", hollow)):
            names = [edge.settings.name for edge in edges if edge.settings.name != asker]
            told[side] = figures(meters=[made.hosts[name].meter for name in names], span_s=WATCHED_S)
            told[side]["state"] = made.state_bytes(name=names[-1])
        assert not made.world.crashes
        left, right = told["real"]["kinds"], told["hollow"]["kinds"]
        rare = {"ClockAsk", "ClockReply", "UsageSummary"}
        assert set(left) - rare == set(right) - rare == {"NewsAsk", "NewsReply", "WorkSummary"}
        for kind in set(left) - rare:
            for figure in left[kind]:
                assert near(found=right[kind][figure], wanted=left[kind][figure], part=0.1), (kind, figure, told)
        # The real schedule: so many are told so often, up to a pass later, and news are asked for with a held ask.
        others = min(REPORT_FANOUT, SIZE.daemons - 1) + 1  # the head besides
        slowest, fastest = (
            others / (REPORT_INTERVAL + MAINTENANCE_INTERVAL).total_seconds(),
            others / REPORT_INTERVAL.total_seconds(),
        )
        assert slowest <= right["WorkSummary"]["out_per_s"] <= fastest
        assert 0.9 <= right["NewsAsk"]["out_per_s"] <= 1.2
        # What they tell of their work adds up to the same: times still to be read, streams.
        sums = []
        for edges in (real, hollow):
            rows = [row for edge in edges for row in edge.load_tracker.summary().values()]
            sums.append([sum(column) for column in zip(*rows, strict=True)])
        assert sums[0] == sums[1]
        for part, count in told["real"]["state"].items():
            assert near(found=told["hollow"]["state"][part], wanted=count, part=0.15), (part, told)
        for edge in made.edges.values():
            assert set(vars(edge)) - {"drawn", "open_streams", "open_prompts", "owed"} == set(vars(real[0]))
            assert edge.directory.digest == real[0].directory.digest
            assert edge.config_tracker.table.version == made.version
            assert {*edge.peers.cards, edge.settings.address} == {*real[0].peers.cards, real[0].settings.address}
            assert set(edge.load_tracker.peer_summaries) == set(made.edges) - {edge.settings.name}


def test_the_same_seed_gives_the_same_figures_but_for_processor_time():
    def counted() -> list[object]:
        run = measure(size=Size(daemons=4, engines=20, models=2, cores=3), seed=3, seconds=2, words=WORDS)
        rows: list[object] = [run["in_force_ms"], run["told_part"], run["join_list_calls"]]
        for role, found in run["roles"].items():
            rows.append((role, found["kinds"]))
        return rows

    assert counted() == counted()


def test_every_control_daemon_keeps_every_session_through_the_loss_of_the_tail():
    with fleet(size=Size(daemons=5, engines=10, models=2, cores=3), seed=4, words=WORDS) as made:
        made.up()
        wanted = set(made.edges)

        def seen() -> list[set[str]]:
            return [
                {card.name for card in core.chain.sessions.standing()}
                for name, core in made.cores.items()
                if made.hosts[name].alive
            ]

        made.operator.sleep(wait=timedelta(seconds=3))
        tail = made.roles()["tail"][0]
        for step in range(120):
            if step == 20:
                made.hosts[tail].kill()
            made.operator.sleep(wait=ms(100))
            assert all(names == wanted for names in seen()), (step, tail, seen())
        made.hosts["edge-004"].kill()
        made.operator.sleep(wait=timedelta(seconds=7))
        assert all(names == wanted - {"edge-004"} for names in seen())


def test_control_daemons_stay_in_sight_of_each_other_among_many_peers():
    with fleet(size=Size(daemons=2, engines=4, models=1, cores=5), seed=5, words=WORDS) as made:
        made.up()
        crowd = [f"10.3.0.{n + 1}:7000" for n in range(200)]
        for _ in range(40):
            for core in made.cores.values():
                card = core.peers.card
                for address in crowd:
                    fields = {"name": address, "role": "edge", "site": "z", "address": address, "http": address}
                    core.peers.observe(card=type(card)(**fields, incarnation="x", ageMs=0))
            made.operator.sleep(wait=ms(500))
            assert [len(core.agreement.cores()) for core in made.cores.values()] == [4] * 5


def test_slopes_of_known_lines():
    assert line(points=[(1, 2), (2, 4), (3, 6)]) == pytest.approx(2)
    assert power(at={10: 5, 100: 50, 200: 200}) == pytest.approx(2)
    assert power(at={10: 0, 20: 1}) is None

    def run(*, seed: int, size: int) -> dict:
        told = {
            "out_per_s": seed * size, "in_per_s": 1, "out_bytes_per_s": size**2, "in_bytes_per_s": 0, "busy_percent": 2,
        }  # fmt: skip
        fields = dict.fromkeys(
            ("acknowledged_ms", "join_list_calls", "cores_in_sight", "operator_bytes", "configuration_bytes"), 1
        )
        return {
            "size": {"daemons": size}, "seed": seed, "in_force_ms": 5.0, "told_part": 1.0,
            "roles": {"edge": {**told, "state_bytes": {"a": size}}}, "change": {"edge": told}, **fields,
        }  # fmt: skip

    runs = [run(seed=seed, size=size) for seed in (1, 2, 4) for size in (10, 20)]
    found = {(row.role, row.figure): row for row in slopes(stepped="daemons", runs=runs)}
    out = found[("edge", "out_per_s")]
    assert out.slopes == pytest.approx((1, 2, 4)) and out.at == {10: 20, 20: 40} and out.power == pytest.approx(1)
    assert found[("edge", "out_bytes_per_s")].power == pytest.approx(2)
    assert "| edge | out_per_s | 20 | 40 | 1, 2, 4 | 1.00 |" in table(found=list(found.values()))
