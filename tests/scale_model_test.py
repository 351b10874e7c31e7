"""Tests the scale model: synthetic load against real load, repeatability, peer visibility, and slope arithmetic."""

import contextlib
import random
from datetime import timedelta

import pytest

from dockmux.platform_proxy.edge import MAINTENANCE_INTERVAL, REPORT_FANOUT, REPORT_INTERVAL, Edge
from dockmux.runtime.time_units import ms
from dockmux.scale_model.fleet import Size, mean_rates, measure, simulated_fleet
from dockmux.scale_model.slopes import compute_slopes, growth_exponent, least_squares_slope, slope_table
from dockmux.scale_model.synthetic_load import SyntheticLoadEdge, TrafficShare

ADAPTER_PATH = "platform/platform_adapter.py"
FLEET_SIZE = Size(daemons=8, engines=60, models=4, cores=3, zones=3, real=4)
MEASURED_S = 10.0


class TrafficSource:
    """Enters a share of the traffic into an unmodified daemon as its data plane does, with `LoadTracker.streaming` and
    `LoadTracker.prefilling`.

    Invariant: `streams` and `prompts` hold one entered context manager for each open stream or prompt.
    """

    def __init__(self, *, edge: Edge, share: TrafficShare) -> None:
        self.edge = edge
        self.share = share
        self.random_source = random.Random(f"traffic-{edge.settings.name}")
        self.streams: list[contextlib.ExitStack] = []
        self.prompts: list[contextlib.ExitStack] = []
        self.due_requests = 0.0

    def _open_stream(self) -> contextlib.ExitStack:
        decode_engines = [row.engine for row in self.edge.directory.rows.values() if row.phase != "prefill"]
        context = contextlib.ExitStack()
        context.enter_context(self.edge.load_tracker.streaming(engine=self.random_source.choice(decode_engines)))
        return context

    def _open_prompt(self) -> contextlib.ExitStack:
        prefill_engines = [row.engine for row in self.edge.directory.rows.values() if row.phase == "prefill"]
        context = contextlib.ExitStack()
        engine = self.random_source.choice(prefill_engines)
        context.enter_context(self.edge.load_tracker.prefilling(engine=engine, span=ms(self.share.prompt_ms)))
        return context

    def advance(self, *, span_s: float) -> None:
        """Replaces the streams and prompts that would end in `span_s` seconds, as SyntheticLoadEdge does."""
        while len(self.streams) < self.share.streams:
            self.streams.append(self._open_stream())
        while len(self.prompts) < self.share.prompts:
            self.prompts.append(self._open_prompt())
        self.due_requests += self.share.requests_per_s * span_s
        while self.due_requests >= 1:
            self.due_requests -= 1
            self.streams.pop(self.random_source.randrange(len(self.streams))).close()
            self.streams.append(self._open_stream())
            self.prompts.pop(self.random_source.randrange(len(self.prompts))).close()
            self.prompts.append(self._open_prompt())


def is_close(*, actual: float, expected: float, tolerance: float) -> bool:
    """Whether the actual figure deviates from the expected one by at most the fraction `tolerance`."""
    return abs(actual - expected) <= tolerance * max(abs(expected), 1e-9)


def test_synthetic_load_gives_the_messages_and_state_of_real_load():
    with simulated_fleet(size=FLEET_SIZE, seed=7, adapter_path=ADAPTER_PATH) as fleet:
        fleet.start()
        real = [edge for edge in fleet.edges.values() if not isinstance(edge, SyntheticLoadEdge)]
        synthetic = fleet.synthetic_load_edges
        assert len(real) == FLEET_SIZE.real and len(synthetic) == FLEET_SIZE.daemons - FLEET_SIZE.real
        sources = [TrafficSource(edge=edge, share=SyntheticLoadEdge.share) for edge in real]
        for step in range(int(MEASURED_S / 0.2) + 10):
            if step == 10:
                fleet.reset_meters()
            for source in sources:
                source.advance(span_s=0.2)
            fleet.operator_host.sleep(wait=ms(200))
        # The list asker also refreshes the engine list, so it is excluded from the comparison.
        list_asker = fleet.roles()["list asker"][0]
        measured = {}
        for side, edges in (("real", real), ("synthetic", synthetic)):
            names = [edge.settings.name for edge in edges if edge.settings.name != list_asker]
            measured[side] = mean_rates(meters=[fleet.hosts[name].meter for name in names], span_s=MEASURED_S)
            measured[side]["state"] = fleet.state_bytes(name=names[-1])
        assert not fleet.world.crashes
        real_kinds, synthetic_kinds = measured["real"]["kinds"], measured["synthetic"]["kinds"]
        infrequent_kinds = {"ClockAsk", "ClockReply", "UsageSummary"}
        assert (
            set(real_kinds) - infrequent_kinds
            == set(synthetic_kinds) - infrequent_kinds
            == {"NewsAsk", "NewsReply", "WorkSummary"}
        )
        for kind in set(real_kinds) - infrequent_kinds:
            for figure in real_kinds[kind]:
                assert is_close(
                    actual=synthetic_kinds[kind][figure], expected=real_kinds[kind][figure], tolerance=0.1
                ), (kind, figure, measured)
        # The expected rates: a report to each receiver per interval, sent up to one maintenance interval late, and a
        # long-polled request for news about once a second.
        report_receivers = min(REPORT_FANOUT, FLEET_SIZE.daemons - 1) + 1  # and the head
        min_rate, max_rate = (
            report_receivers / (REPORT_INTERVAL + MAINTENANCE_INTERVAL).total_seconds(),
            report_receivers / REPORT_INTERVAL.total_seconds(),
        )
        assert min_rate <= synthetic_kinds["WorkSummary"]["out_per_s"] <= max_rate
        assert 0.9 <= synthetic_kinds["NewsAsk"]["out_per_s"] <= 1.2
        # The load summaries add up to the same prefill backlog and number of streams.
        summary_totals = []
        for edges in (real, synthetic):
            rows = [row for edge in edges for row in edge.load_tracker.summary().values()]
            summary_totals.append([sum(column) for column in zip(*rows, strict=True)])
        assert summary_totals[0] == summary_totals[1]
        for part, count in measured["real"]["state"].items():
            assert is_close(actual=measured["synthetic"]["state"][part], expected=count, tolerance=0.15), (
                part,
                measured,
            )
        for edge in fleet.edges.values():
            assert set(vars(edge)) - {"load_random", "open_streams", "open_prompts", "due_requests"} == set(
                vars(real[0])
            )
            assert edge.directory.digest == real[0].directory.digest
            assert edge.config_tracker.table.version == fleet.version
            assert {*edge.peers.cards, edge.settings.address} == {*real[0].peers.cards, real[0].settings.address}
            assert set(edge.load_tracker.peer_summaries) == set(fleet.edges) - {edge.settings.name}


def test_figures_depend_only_on_the_seed_except_processor_time():
    def repeatable_figures() -> list[object]:
        run = measure(size=Size(daemons=4, engines=20, models=2, cores=3), seed=3, seconds=2, adapter_path=ADAPTER_PATH)
        rows: list[object] = [run["in_force_ms"], run["told_part"], run["join_list_calls"]]
        for role, rates in run["roles"].items():
            rows.append((role, rates["kinds"]))
        return rows

    assert repeatable_figures() == repeatable_figures()


def test_control_daemons_keep_all_sessions_when_the_tail_fails():
    with simulated_fleet(
        size=Size(daemons=5, engines=10, models=2, cores=3), seed=4, adapter_path=ADAPTER_PATH
    ) as fleet:
        fleet.start()
        expected_names = set(fleet.edges)

        def session_names_by_core() -> list[set[str]]:
            return [
                {card.name for card in core.chain.sessions.active()}
                for name, core in fleet.cores.items()
                if fleet.hosts[name].alive
            ]

        fleet.operator_host.sleep(wait=timedelta(seconds=3))
        tail = fleet.roles()["tail"][0]
        for step in range(120):
            if step == 20:
                fleet.hosts[tail].kill()
            fleet.operator_host.sleep(wait=ms(100))
            assert all(names == expected_names for names in session_names_by_core()), (
                step,
                tail,
                session_names_by_core(),
            )
        fleet.hosts["edge-004"].kill()
        fleet.operator_host.sleep(wait=timedelta(seconds=7))
        assert all(names == expected_names - {"edge-004"} for names in session_names_by_core())


def test_control_daemons_know_each_other_among_many_peers():
    with simulated_fleet(
        size=Size(daemons=2, engines=4, models=1, cores=5), seed=5, adapter_path=ADAPTER_PATH
    ) as fleet:
        fleet.start()
        peer_addresses = [f"10.3.0.{n + 1}:7000" for n in range(200)]
        for _ in range(40):
            for core in fleet.cores.values():
                card = core.peers.card
                for address in peer_addresses:
                    fields = {"name": address, "role": "edge", "site": "z", "address": address, "http": address}
                    core.peers.observe(card=type(card)(**fields, incarnation="x", ageMs=0))
            fleet.operator_host.sleep(wait=ms(500))
            assert [len(core.agreement.core_cards()) for core in fleet.cores.values()] == [4] * 5


def test_slopes_and_exponents_of_known_data():
    assert least_squares_slope(points=[(1, 2), (2, 4), (3, 6)]) == pytest.approx(2)
    assert growth_exponent(at={10: 5, 100: 50, 200: 200}) == pytest.approx(2)
    assert growth_exponent(at={10: 0, 20: 1}) is None

    def run(*, seed: int, size: int) -> dict:
        rates = {
            "out_per_s": seed * size, "in_per_s": 1, "out_bytes_per_s": size**2, "in_bytes_per_s": 0, "busy_percent": 2,
        }  # fmt: skip
        fields = dict.fromkeys(
            ("acknowledged_ms", "join_list_calls", "cores_in_sight", "operator_bytes", "configuration_bytes"), 1
        )
        return {
            "size": {"daemons": size}, "seed": seed, "in_force_ms": 5.0, "told_part": 1.0,
            "roles": {"edge": {**rates, "state_bytes": {"a": size}}}, "change": {"edge": rates}, **fields,
        }  # fmt: skip

    runs = [run(seed=seed, size=size) for seed in (1, 2, 4) for size in (10, 20)]
    by_figure = {(row.role, row.figure): row for row in compute_slopes(stepped="daemons", runs=runs)}
    out = by_figure[("edge", "out_per_s")]
    assert out.slopes == pytest.approx((1, 2, 4)) and out.at == {10: 20, 20: 40} and out.power == pytest.approx(1)
    assert by_figure[("edge", "out_bytes_per_s")].power == pytest.approx(2)
    assert "| edge | out_per_s | 20 | 40 | 1, 2, 4 | 1.00 |" in slope_table(slopes=list(by_figure.values()))
