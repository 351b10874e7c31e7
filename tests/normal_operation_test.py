"""Operation without faults, and the operator's configuration calls."""

import copy
import json

import pytest

from dockmux.platform_proxy.config_tracker import ConfigTracker
from tests.standins.fleet import SECOND, Fleet, fleet
from tests.standins.operator import configuration, route, serialize

PATHS = ("/notes/a", "/once/b?x=1%20y", "/check/c", "/write/d")


def test_without_faults_every_request_gets_its_own_complete_answer_from_one_run():
    with fleet(seed=1) as sim_fleet:
        attempts = sim_fleet.send_load(paths=PATHS, per_second=2, seconds=60)
        assert [attempt for attempt in attempts if not attempt.is_correct] == []
        assert sim_fleet.violations(attempts=attempts) == []
        for attempt in attempts:
            assert len(sim_fleet.record.runs(request_id=attempt.request.request_id)) == 1
        assert max(attempt.ended_at - attempt.sent_at for attempt in attempts) < SECOND
        assert sim_fleet.list.calls and len(sim_fleet.list.calls) < 60 * 4
        sim_fleet.assert_no_failures()


def test_bodies_with_a_length_or_chunked_on_one_kept_connection():
    with fleet(seed=2) as sim_fleet:
        requests = [
            sim_fleet.request(path=path, chunked=chunked, tokens_out=0 if path.startswith(("/check", "/write")) else 8)
            for path in PATHS
            for chunked in (False, True)
        ]
        attempts = sim_fleet.client.send_many(edge=sim_fleet.edges[1], requests=requests)
        assert len(attempts) == 8 and all(attempt.is_correct for attempt in attempts)
        assert sim_fleet.violations(attempts=attempts) == []
        sim_fleet.assert_no_failures()


def _changed_config(*, gen: int) -> dict:
    """The first configuration without the route `check`, and with the route `fresh`."""
    remaining_routes = [row for row in configuration()["rtab"] if row["name"] != "check"]
    return configuration(gen=gen, routes=[*remaining_routes, route(name="fresh", prefix="/fresh/", kind="idem")])


def _statuses(*, sim_fleet: Fleet, path: str) -> list[int]:
    return [sim_fleet.send(path=path, zone=zone, tokens_out=0).status for zone in range(3)]


def _put_and_probe(*, sim_fleet: Fleet) -> list[list[int]]:
    """The statuses of the removed and the added route on all edges, just under `apply_ms` after the acknowledgement."""
    text = serialize(fields=_changed_config(gen=5))
    assert sim_fleet.operator.put(text=text, base=1) == 200
    sim_fleet.sleep(seconds=1.9)
    return [_statuses(sim_fleet=sim_fleet, path="/check/x"), _statuses(sim_fleet=sim_fleet, path="/fresh/x")]


def test_a_configuration_takes_effect_on_all_edges_in_time_and_is_read_back_unchanged():
    with fleet(seed=3) as sim_fleet:
        assert _statuses(sim_fleet=sim_fleet, path="/check/x") == [200] * 3
        assert _statuses(sim_fleet=sim_fleet, path="/fresh/x") == [404] * 3
        assert _put_and_probe(sim_fleet=sim_fleet) == [[404] * 3, [200] * 3]
        for control in range(3):
            assert sim_fleet.operator.get(control=control) == serialize(fields=_changed_config(gen=5))
        sim_fleet.assert_no_failures()


def test_without_configuration_updates_edges_serve_the_previous_configuration(monkeypatch):
    with fleet(seed=3) as sim_fleet:
        monkeypatch.setattr(ConfigTracker, "_adopt", lambda self, *, config: setattr(self, "config", config))
        assert _put_and_probe(sim_fleet=sim_fleet) == [[200] * 3, [404] * 3]


def test_a_resend_is_accepted_a_stale_base_is_not_and_versions_increase():
    text = serialize(fields=_changed_config(gen=5))
    with fleet(seed=4) as sim_fleet:
        put = sim_fleet.operator.put
        assert put(text=text, base=1, control=0) == 200
        assert [put(text=text, base=1, control=control) for control in range(3)] == [200] * 3
        assert put(text=serialize(fields=configuration(gen=6)), base=1) == 412
        assert put(text=serialize(fields=configuration(gen=6)), base=4) == 412
        assert 400 <= put(text=serialize(fields=configuration(gen=5)), base=5) < 500
        assert 400 <= put(text=serialize(fields=configuration(gen=4)), base=5) < 500
        assert 400 <= put(text=serialize(fields=configuration(gen=6)), base=None) < 500
        assert sim_fleet.operator.get() == text
        assert put(text=serialize(fields=configuration(gen=9)), base=5, control=2) == 200
        # A resend of the previous version is still accepted, and does not make it current again.
        assert put(text=text, base=1) == 200
        assert sim_fleet.operator.get(control=1) == serialize(fields=configuration(gen=9))
        sim_fleet.assert_no_failures()


def test_of_concurrent_changes_on_one_base_one_wins():
    with fleet(seed=5) as sim_fleet:
        statuses: dict[int, int] = {}

        def put(*, gen: int) -> None:
            text = serialize(fields=configuration(gen=gen))
            statuses[gen] = sim_fleet.operator.put(text=text, base=1, control=gen % 3)

        for gen in (2, 3, 4):
            sim_fleet.outside.spawn(task=put, gen=gen)
        sim_fleet.sleep(seconds=6)
        assert sorted(statuses.values()) == [200, 412, 412], statuses
        winner = next(gen for gen, status in statuses.items() if status == 200)
        assert json.loads(sim_fleet.operator.get())["gen"] == winner
        sim_fleet.assert_no_failures()


def _config_with_route(**changes: object) -> bytes:
    """Version 2 with fields of its first route replaced."""
    fields = copy.deepcopy(configuration(gen=2))
    fields["rtab"][0] |= changes
    return serialize(fields=fields)


def _config_with(**changes: object) -> bytes:
    """Version 2 with top-level fields replaced."""
    return serialize(fields=configuration(gen=2) | changes)


INVALID = {
    "cut off": serialize(fields=configuration(gen=2))[:-30],
    "empty": b"",
    "no text": b"\xff\xfe\x00",
    "no object": b"[1, 2]",
    "no routes": serialize(fields={k: v for k, v in configuration(gen=2).items() if k != "rtab"}),
    "no services": serialize(fields={k: v for k, v in configuration(gen=2).items() if k != "svcs"}),
    "no number": serialize(fields={k: v for k, v in configuration(gen=2).items() if k != "gen"}),
    "the number is a text": _config_with(gen="2"),
    "the number is no whole one": _config_with(gen=2.5),
    "the number is a truth value": _config_with(gen=True),
    "unknown service": _config_with_route(svc="nowhere"),
    "unknown service in a share": _config_with_route(mix=[{"svc": "desk", "wt": 1}, {"svc": "nowhere", "wt": 1}]),
    "same host and prefix": _config_with_route(pfx="/once/"),
    "weights sum to 0": _config_with_route(mix=[{"svc": "desk", "wt": 0}, {"svc": "other", "wt": 0}]),
    "a weight below 0": _config_with_route(mix=[{"svc": "desk", "wt": -1}, {"svc": "other", "wt": 2}]),
    "a weight is a text": _config_with_route(mix=[{"svc": "desk", "wt": "90"}]),
    "a weight is missing": _config_with_route(mix=[{"svc": "desk"}]),
    "a share's service is a list": _config_with_route(mix=[{"svc": ["desk"], "wt": 1}]),
    "no time": _config_with_route(tmo_ms=0),
    "time below 0": _config_with_route(tmo_ms=-1),
    "time is a text": _config_with_route(tmo_ms="8000"),
    "time without end": _config_with_route(tmo_ms=float("inf")),
    "prefix without slash at its end": _config_with_route(pfx="/notes"),
    "prefix is a number": _config_with_route(pfx=7),
    "host is a list": _config_with_route(host=["desk.example"]),
}
NOT_INCREASING = {
    "same number": serialize(fields=_changed_config(gen=1)),
    "lower number": serialize(fields=configuration(gen=0)),
}


@pytest.mark.parametrize("kind", INVALID)
def test_the_adapter_rejects_each_kind_of_invalid_configuration(kind):
    import platform_adapter

    from dockmux.platform_proxy.routes import BadConfig

    try:
        text = INVALID[kind].decode()
    except UnicodeDecodeError:
        return  # The text is not decoded, so the adapter never sees it.
    with pytest.raises(BadConfig) as caught:
        platform_adapter.PlatformAdapter().parse_config(text=text)
    assert "\n" not in str(caught.value)


def test_each_kind_of_invalid_configuration_is_refused_and_has_no_effect():
    with fleet(seed=6) as sim_fleet:
        statuses = {
            kind: sim_fleet.operator.put(text=text, base=1, control=index, limit=SECOND)
            for index, (kind, text) in enumerate((INVALID | NOT_INCREASING).items())
        }
        assert {kind: status for kind, status in statuses.items() if not 400 <= status < 500} == {}
        sim_fleet.sleep(seconds=2)
        assert sim_fleet.operator.get() == serialize(fields=configuration(gen=1))
        assert _statuses(sim_fleet=sim_fleet, path="/check/x") == [200] * 3
        # The next valid configuration is accepted.
        assert sim_fleet.operator.put(text=serialize(fields=_changed_config(gen=2)), base=1) == 200
        sim_fleet.assert_no_failures()


def test_an_acknowledged_configuration_survives_a_restart_of_all_control_daemons():
    text = serialize(fields=_changed_config(gen=5))
    with fleet(seed=7) as sim_fleet:
        assert sim_fleet.operator.put(text=text, base=1) == 200
        for name in ("core-0", "core-1", "core-2"):
            sim_fleet.kill(name=name)
        sim_fleet.sleep(seconds=1)
        for name in ("core-0", "core-1", "core-2"):
            sim_fleet.start_daemon(name=name)
        assert sim_fleet.operator.get(limit=12 * SECOND) == text
        assert _statuses(sim_fleet=sim_fleet, path="/fresh/x") == [200] * 3
        sim_fleet.assert_no_failures()
