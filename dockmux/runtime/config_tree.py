"""The configuration tree: checking it, and what a lane inherits from where."""

from typing import Any

from dockmux.runtime import schemas

INHERITED = ("horizonMs", "urgency", "model", "adapter", "run")
EXTRA_PERCENT = 10


def validate(*, tree: Any) -> list[dict[str, str]]:
    """Every error with its JSON path; none when the tree may be used."""
    wrong = schemas.errors(name="tree", value=tree)
    if wrong:
        return wrong
    return [
        {"path": f"$.lanes.{lane}.service", "error": f"no service {values['service']!r} in $.services"}
        for lane, values in sorted(tree["lanes"].items())
        if values["service"] not in tree["services"]
    ]


def explain(*, tree: dict[str, Any], lane: str, site: str) -> dict[str, Any] | None:
    """Each value of a lane at a site, with the place in the tree that it comes from."""
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
    told: dict[str, Any] = {"service": {"value": service, "from": f"lanes.{lane}"}}
    for key in INHERITED:
        place = next(((name, values) for name, values in places if key in values), None)
        told[key] = {"value": place[1][key], "from": place[0]} if place else {"value": None, "from": "nowhere"}
    return told


def resolve(*, tree: dict[str, Any], lane: str, site: str) -> dict[str, Any] | None:
    """The values of a lane at a site."""
    told = explain(tree=tree, lane=lane, site=site)
    return None if told is None else {key: value["value"] for key, value in told.items()}


def extra_percent(*, tree: dict[str, Any], service: str) -> int:
    return tree["services"][service].get("extraPercent", EXTRA_PERCENT)


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
