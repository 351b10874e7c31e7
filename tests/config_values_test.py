"""Numbers of a configuration that are of the wrong type, missing or out of range."""

import copy
import json
from typing import Any

import platform_adapter
import pytest

from dockmux.platform_proxy.routes import BadConfig, Limits
from tests.standins.operator import configuration

WRONG = ("8", None, [], {}, True, -1, 0.5, 1e300, float("nan"))
COUNTS = [
    ("caps", "hdr_bytes"), ("caps", "max_body_bytes"), ("caps", "hdr_ms"), ("caps", "idle_ms"), ("svcs", "maxconn"),
    ("backend", "slots"), ("backend", "kv_toks"), ("rtab", "tries"), ("rtab", "prio"),
]  # fmt: skip
SPANS = [("backend", "kv_hold_s"), ("backend", "swap_s"), ("backend", "net_mbps"), ("rtab", "tmo_ms")]


def changed(*, place: str, name: str, value: Any) -> str:
    fields = copy.deepcopy(configuration())
    rows = {
        "caps": fields["caps"], "svcs": fields["svcs"][0], "backend": fields["svcs"][0]["backend"],
        "rtab": fields["rtab"][0],
    }  # fmt: skip
    rows[place][name] = value
    return json.dumps(fields)


@pytest.mark.parametrize("value", WRONG)
@pytest.mark.parametrize(("place", "name"), COUNTS)
def test_an_operators_wrong_number_is_refused(place, name, value):
    """Guards against acknowledged configurations under which requests fail (event 1004)."""
    with pytest.raises(BadConfig):
        platform_adapter.PlatformAdapter().check_config(text=changed(place=place, name=name, value=value))


@pytest.mark.parametrize("value", [value for value in WRONG if value != 0.5])
@pytest.mark.parametrize(("place", "name"), SPANS)
def test_an_operators_wrong_time_or_rate_is_refused(place, name, value):
    with pytest.raises(BadConfig):
        platform_adapter.PlatformAdapter().check_config(text=changed(place=place, name=name, value=value))


@pytest.mark.parametrize("name", ("hdr_bytes", "max_body_bytes", "hdr_ms", "idle_ms"))
def test_a_missing_limit_beside_others_has_its_default(name):
    fields = copy.deepcopy(configuration())
    del fields["caps"][name]
    assert platform_adapter.PlatformAdapter().check_config(text=json.dumps(fields)).limits == Limits()


@pytest.mark.parametrize("value", ("8", None, [], -1, 0.5))
@pytest.mark.parametrize("name", ("hdr_bytes", "max_body_bytes", "hdr_ms", "idle_ms"))
def test_a_wrong_limit_that_an_earlier_release_acknowledged_has_its_default(name, value):
    """Guards against edges without any configuration after an upgrade."""
    adapter = platform_adapter.PlatformAdapter()
    assert adapter.parse_config(text=changed(place="caps", name=name, value=value)).limits == Limits()


def test_the_platforms_own_example_is_accepted():
    text = json.dumps(configuration())
    adapter = platform_adapter.PlatformAdapter()
    assert adapter.check_config(text=text) == adapter.parse_config(text=text)
