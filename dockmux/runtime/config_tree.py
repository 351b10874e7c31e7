"""The configuration tree: validation, and the resolution of inherited values of a lane."""

from typing import Any

from dockmux.runtime import schemas

INHERITED = ("horizonMs", "urgency", "model", "adapter", "run")
DEFAULT_EXTRA_PERCENT = 10


def validate(*, tree: Any) -> list[dict[str, str]]:
    """Every error with its JSON path; empty for a valid tree."""
    schema_errors = schemas.errors(name="tree", value=tree)
    if schema_errors:
        return schema_errors
    return [
        {"path": f"$.lanes.{lane}.service", "error": f"no service {values['service']!r} in $.services"}
        for lane, values in sorted(tree["lanes"].items())
        if values["service"] not in tree["services"]
    ]


def explain(*, tree: dict[str, Any], lane: str, site: str) -> dict[str, Any] | None:
    """Each value of a lane at a site, with the path in the tree it comes from; None for an unknown lane.

    A value set at the lane takes precedence over the service, then the site, then the defaults.
    """
    if lane not in tree["lanes"]:
        return None
    own = tree["lanes"][lane]
    service = own["service"]
    places = [
        (f"lanes.{lane}", own),
        (f"services.{service}", tree["services"][service]),
        (f"sites.{site}", tree.get("sites", {}).get(site, {})),
        ("defaults", tree["defaults"]),
    ]
    explained: dict[str, Any] = {"service": {"value": service, "from": f"lanes.{lane}"}}
    for key in INHERITED:
        place = next(((name, values) for name, values in places if key in values), None)
        explained[key] = {"value": place[1][key], "from": place[0]} if place else {"value": None, "from": "nowhere"}
    return explained


def resolve(*, tree: dict[str, Any], lane: str, site: str) -> dict[str, Any] | None:
    """The values of a lane at a site; None for an unknown lane."""
    explained = explain(tree=tree, lane=lane, site=site)
    return None if explained is None else {key: value["value"] for key, value in explained.items()}


def extra_percent(*, tree: dict[str, Any], service: str) -> int:
    """Extra sends allowed for a service, in percent of its requests."""
    return tree["services"][service].get("extraPercent", DEFAULT_EXTRA_PERCENT)


def test_a_lane_inherits_from_service_then_site_then_defaults(snapshot):
    tree = {
        "defaults": {"horizonMs": 9000, "urgency": 1, "model": "m", "run": "repeatable"},
        "sites": {"north": {"urgency": 2, "horizonMs": 8000, "adapter": "n"}},
        "services": {"catalogue": {"horizonMs": 7000}},
        "lanes": {"ask": {"service": "catalogue", "run": "once"}, "lost": {"service": "none"}},
    }
    assert validate(tree=tree) == [{"path": "$.lanes.lost.service", "error": "no service 'none' in $.services"}]
    assert explain(tree=tree, lane="ask", site="north") == snapshot
    assert resolve(tree=tree, lane="ask", site="south")["urgency"] == 1
    assert explain(tree=tree, lane="other", site="north") is None
