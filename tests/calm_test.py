"""A calm minute, and the operator's calls."""

import copy
import json

import pytest

from dockmux.platform_proxy.config_tracker import ConfigTracker
from tests.standins.fleet import SECOND, Fleet, fleet
from tests.standins.operator import configuration, packed, route

ALL = ("/notes/a", "/once/b?x=1%20y", "/check/c", "/write/d")


def test_a_calm_minute_every_request_answered_once_whole_and_own():
    with fleet(seed=1) as made:
        tries = made.load(paths=ALL, per_second=2, seconds=60)
        assert [seen for seen in tries if not seen.right] == []
        assert made.wrong(tries=tries) == []
        for seen in tries:
            assert len(made.record.runs(request_id=seen.request.request_id)) == 1
        assert max(seen.ended_at - seen.sent_at for seen in tries) < SECOND
        assert made.list.calls and len(made.list.calls) < 60 * 4
        made.sound()


def test_bodies_come_with_a_length_or_in_chunks_and_connections_are_kept():
    with fleet(seed=2) as made:
        requests = [
            made.request(path=path, chunked=chunked, tokens_out=0 if path.startswith(("/check", "/write")) else 8)
            for path in ALL
            for chunked in (False, True)
        ]
        tries = made.client.send_many(edge=made.edges[1], requests=requests)
        assert len(tries) == 8 and all(seen.right for seen in tries)
        assert made.wrong(tries=tries) == []
        made.sound()


def _moved(*, gen: int) -> dict:
    """The base's routes without `check`, and with another."""
    rows = [row for row in configuration()["rtab"] if row["name"] != "check"]
    return configuration(gen=gen, routes=[*rows, route(name="fresh", prefix="/fresh/", kind="idem")])


def _statuses(*, made: Fleet, path: str) -> list[int]:
    return [made.send(path=path, zone=zone, tokens_out=0).status for zone in range(3)]


def _put_and_look(*, made: Fleet) -> list[list[int]]:
    """Just under `apply_ms` after the acknowledgement: a dropped route's and an added route's answers everywhere."""
    text = packed(fields=_moved(gen=5))
    assert made.operator.put(text=text, base=1) == 200
    made.sleep(seconds=1.9)
    return [_statuses(made=made, path="/check/x"), _statuses(made=made, path="/fresh/x")]


def test_a_configuration_is_in_force_on_all_edges_in_time_and_read_back_byte_for_byte():
    with fleet(seed=3) as made:
        assert _statuses(made=made, path="/check/x") == [200] * 3
        assert _statuses(made=made, path="/fresh/x") == [404] * 3
        assert _put_and_look(made=made) == [[404] * 3, [200] * 3]
        for control in range(3):
            assert made.operator.get(control=control) == packed(fields=_moved(gen=5))
        made.sound()


def test_without_news_the_look_finds_the_older_configuration(monkeypatch):
    with fleet(seed=3) as made:
        monkeypatch.setattr(ConfigTracker, "_adopt", lambda self, *, config: setattr(self, "config", config))
        assert _put_and_look(made=made) == [[200] * 3, [404] * 3]


def test_a_resend_is_taken_a_stale_base_is_not_and_numbers_rise():
    text = packed(fields=_moved(gen=5))
    with fleet(seed=4) as made:
        put = made.operator.put
        assert put(text=text, base=1, control=0) == 200
        assert [put(text=text, base=1, control=control) for control in range(3)] == [200] * 3
        assert put(text=packed(fields=configuration(gen=6)), base=1) == 412
        assert put(text=packed(fields=configuration(gen=6)), base=4) == 412
        assert 400 <= put(text=packed(fields=configuration(gen=5)), base=5) < 500
        assert 400 <= put(text=packed(fields=configuration(gen=4)), base=5) < 500
        assert 400 <= put(text=packed(fields=configuration(gen=6)), base=None) < 500
        assert made.operator.get() == text
        assert put(text=packed(fields=configuration(gen=9)), base=5, control=2) == 200
        # Once another version is current, the former one sent again was still taken, and does not come back.
        assert put(text=text, base=1) == 200
        assert made.operator.get(control=1) == packed(fields=configuration(gen=9))
        made.sound()


def test_of_two_changes_on_one_base_one_wins():
    with fleet(seed=5) as made:
        told: dict[int, int] = {}

        def put(*, gen: int) -> None:
            text = packed(fields=configuration(gen=gen))
            told[gen] = made.operator.put(text=text, base=1, control=gen % 3)

        for gen in (2, 3, 4):
            made.outside.spawn(task=put, gen=gen)
        made.sleep(seconds=6)
        assert sorted(told.values()) == [200, 412, 412], told
        winner = next(gen for gen, status in told.items() if status == 200)
        assert json.loads(made.operator.get())["gen"] == winner
        made.sound()


def _broken(**changes: object) -> bytes:
    """Version 2 with its first route changed."""
    fields = copy.deepcopy(configuration(gen=2))
    fields["rtab"][0] |= changes
    return packed(fields=fields)


def _with(**changes: object) -> bytes:
    return packed(fields=configuration(gen=2) | changes)


INVALID = {
    "cut off": packed(fields=configuration(gen=2))[:-30],
    "empty": b"",
    "no text": b"\xff\xfe\x00",
    "no object": b"[1, 2]",
    "no routes": packed(fields={k: v for k, v in configuration(gen=2).items() if k != "rtab"}),
    "no services": packed(fields={k: v for k, v in configuration(gen=2).items() if k != "svcs"}),
    "no number": packed(fields={k: v for k, v in configuration(gen=2).items() if k != "gen"}),
    "the number is a text": _with(gen="2"),
    "the number is no whole one": _with(gen=2.5),
    "the number is a truth value": _with(gen=True),
    "unknown service": _broken(svc="nowhere"),
    "unknown service in a share": _broken(mix=[{"svc": "desk", "wt": 1}, {"svc": "nowhere", "wt": 1}]),
    "same host and prefix": _broken(pfx="/once/"),
    "weights sum to 0": _broken(mix=[{"svc": "desk", "wt": 0}, {"svc": "other", "wt": 0}]),
    "a weight below 0": _broken(mix=[{"svc": "desk", "wt": -1}, {"svc": "other", "wt": 2}]),
    "a weight is a text": _broken(mix=[{"svc": "desk", "wt": "90"}]),
    "a weight is missing": _broken(mix=[{"svc": "desk"}]),
    "a share's service is a list": _broken(mix=[{"svc": ["desk"], "wt": 1}]),
    "no time": _broken(tmo_ms=0),
    "time below 0": _broken(tmo_ms=-1),
    "time is a text": _broken(tmo_ms="8000"),
    "time without end": _broken(tmo_ms=float("inf")),
    "prefix without slash at its end": _broken(pfx="/notes"),
    "prefix is a number": _broken(pfx=7),
    "host is a list": _broken(host=["desk.example"]),
}
NOT_ABOVE = {"same number": packed(fields=_moved(gen=1)), "lower number": packed(fields=configuration(gen=0))}


@pytest.mark.parametrize("kind", INVALID)
def test_the_adapter_finds_each_kind_of_invalid_configuration(kind):
    import platform_adapter

    from dockmux.platform_proxy.routes import BadConfig

    try:
        text = INVALID[kind].decode()
    except UnicodeDecodeError:
        return  # It does not even get to the adapter.
    with pytest.raises(BadConfig) as caught:
        platform_adapter.PlatformAdapter().parse_config(text=text)
    assert "\n" not in str(caught.value)


def test_each_kind_of_invalid_configuration_is_refused_and_not_in_force():
    with fleet(seed=6) as made:
        told = {
            kind: made.operator.put(text=text, base=1, control=place, limit=SECOND)
            for place, (kind, text) in enumerate((INVALID | NOT_ABOVE).items())
        }
        assert {kind: status for kind, status in told.items() if not 400 <= status < 500} == {}
        made.sleep(seconds=2)
        assert made.operator.get() == packed(fields=configuration(gen=1))
        assert _statuses(made=made, path="/check/x") == [200] * 3
        # The next valid one is taken.
        assert made.operator.put(text=packed(fields=_moved(gen=2)), base=1) == 200
        made.sound()


def test_an_acknowledged_configuration_outlives_all_processes_of_the_core():
    text = packed(fields=_moved(gen=5))
    with fleet(seed=7) as made:
        assert made.operator.put(text=text, base=1) == 200
        for name in ("core-0", "core-1", "core-2"):
            made.kill(name=name)
        made.sleep(seconds=1)
        for name in ("core-0", "core-1", "core-2"):
            made.start_daemon(name=name)
        assert made.operator.get(limit=12 * SECOND) == text
        assert _statuses(made=made, path="/fresh/x") == [200] * 3
        made.sound()
