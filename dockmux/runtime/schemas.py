"""Validators for the schema files, which report every error with its JSON path."""

from functools import cache
from importlib import resources
from typing import Any

import jsonschema
import yaml


@cache
def validator(*, name: str) -> jsonschema.Draft202012Validator:
    """The validator for dockmux/schema/NAME.yaml."""
    text = resources.files("dockmux").joinpath("schema", f"{name}.yaml").read_text()
    schema = yaml.safe_load(text)
    jsonschema.Draft202012Validator.check_schema(schema)
    return jsonschema.Draft202012Validator(schema)


def errors(*, name: str, value: Any) -> list[dict[str, str]]:
    """Every error with its JSON path and its description, cut to 300 characters; empty for a valid value."""
    found = sorted(validator(name=name).iter_errors(value), key=lambda e: (e.json_path, e.message))
    return [{"path": error.json_path, "error": error.message[:300]} for error in found]


def test_each_error_is_reported_with_its_path():
    tree = {
        "defaults": {"horizonMs": 1, "urgency": 1, "model": "m", "run": "twice"},
        "services": {},
        "lanes": {"a": {}},
    }
    assert [e["path"] for e in errors(name="tree", value=tree)] == [
        "$.defaults.horizonMs", "$.defaults.run", "$.lanes.a", "$.services",
    ]  # fmt: skip
