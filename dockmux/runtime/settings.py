"""Reads a daemon's settings from a file and from flags, and validates them."""

import argparse
import json
import sys
from pathlib import Path
from typing import Any

from dockmux.runtime import codec, schemas
from dockmux.runtime.settings_type import LogLevel, Settings


class SettingsError(Exception):
    """A setting is invalid; the message names the key, what was found and what is allowed, in one line."""


def check(*, fields: dict[str, Any]) -> Settings:
    """Validates settings; raises SettingsError for the first invalid one."""
    schema = schemas.validator(name="settings").schema
    for error in sorted(schemas.validator(name="settings").iter_errors(fields), key=lambda e: e.json_path):
        key = error.json_path.removeprefix("$.")
        if error.validator == "required":
            key = next(k for k in schema["required"] if k not in fields)
            raise SettingsError(f"{key}: found nothing, allowed: {_allowed(rule=schema['properties'][key])}")
        if error.validator == "additionalProperties":
            key = next(k for k in fields if k not in schema["properties"])
            raise SettingsError(f"{key}: found an unknown key, allowed: {', '.join(schema['properties'])}")
        rule = schema["properties"][key.partition("[")[0]]
        raise SettingsError(f"{key}: found {json.dumps(error.instance)}, allowed: {_allowed(rule=rule)}")
    for key in ("address", "http"):
        _check_address(key=key, text=fields[key])
    for index, seed in enumerate(fields["seeds"]):
        _check_address(key=f"seeds[{index}]", text=seed)
    if fields.get("gossipMinMilliHz", 10) > fields.get("gossipMaxMilliHz", 40):
        raise SettingsError(
            f"gossipMinMilliHz: found {fields.get('gossipMinMilliHz', 10)}, allowed: up to gossipMaxMilliHz"
        )
    level = LogLevel(fields.get("log_level", "info"))
    return codec.from_fields(message_type=Settings, fields={**fields, "log_level": level})


def _check_address(*, key: str, text: str) -> None:
    ip, _, port = text.rpartition(":")
    parts = ip.split(".")
    if len(parts) != 4 or not all(p.isdigit() and int(p) < 256 for p in parts) or not 0 < int(port) < 65536:
        raise SettingsError(f"{key}: found {json.dumps(text)}, allowed: an IPv4 address and a port, as 10.0.0.1:7000")


def _allowed(*, rule: dict[str, Any]) -> str:
    if "enum" in rule:
        return "one of " + ", ".join(rule["enum"])
    if "minimum" in rule:
        return f"a whole number from {rule['minimum']} to {rule['maximum']}"
    if rule["type"] == "boolean":
        return "true or false"
    if rule["type"] == "array":
        return "a list of one to three addresses, as 10.0.0.1:7000"
    if "pattern" in rule:
        return f"text like {rule['pattern']}"
    return rule["type"]


def add_flags(*, parser: argparse.ArgumentParser) -> None:
    """Adds --settings and one flag for each setting."""
    parser.add_argument("--settings", metavar="FILE", help="JSON file of settings; flags take precedence over it")
    for key, rule in schemas.validator(name="settings").schema["properties"].items():
        parser.add_argument(
            "--" + key.replace("_", "-"), dest=key, metavar=rule["type"].upper(), help=rule["description"]
        )


def from_flags(*, parsed: argparse.Namespace) -> Settings:
    """The settings from parsed flags and the file they name; raises SettingsError."""
    fields: dict[str, Any] = {}
    if parsed.settings:
        try:
            fields = json.loads(Path(parsed.settings).read_text())
        except OSError as error:
            raise SettingsError(f"settings: found {error.strerror}, allowed: a file that can be read") from None
        except ValueError as error:
            raise SettingsError(f"settings: found no JSON ({error}), allowed: one JSON object") from None
        if not isinstance(fields, dict):
            raise SettingsError("settings: found no object, allowed: one JSON object")
    for key, rule in schemas.validator(name="settings").schema["properties"].items():
        text = getattr(parsed, key)
        if text is None:
            continue
        if rule["type"] == "integer":
            fields[key] = int(text) if text.lstrip("-").isdigit() else text
        elif rule["type"] == "array":
            fields[key] = text.split(",")
        elif rule["type"] == "boolean":
            fields[key] = {"true": True, "false": False}.get(text, text)
        else:
            fields[key] = text
    return check(fields=fields)


def read_or_exit(*, parser: argparse.ArgumentParser, argv: list[str] | None) -> Settings:
    """The settings of a command; prints an invalid one and exits with code 2."""
    add_flags(parser=parser)
    try:
        return from_flags(parsed=parser.parse_args(argv))
    except SettingsError as error:
        print(f"{parser.prog}: bad setting {error}", file=sys.stderr)
        raise SystemExit(2) from None


def test_an_invalid_setting_is_reported_in_one_line(snapshot):
    good = {
        "name": "a",
        "site": "s",
        "address": "127.0.0.1:1",
        "http": "127.0.0.1:2",
        "seeds": ["127.0.0.1:1"],
    }
    assert check(fields=good).permitMs == 1200
    messages = []
    for change in (
        {"name": None},
        {"address": "127.0.0.1"},
        {"http": "300.0.0.1:4"},
        {"seeds": []},
        {"permitMs": 1},
        {"permitms": 1200},
        {"log_level": "loud"},
        {"gossipMinMilliHz": 50},
    ):
        fields = {k: v for k, v in {**good, **change}.items() if v is not None}
        try:
            check(fields=fields)
        except SettingsError as error:
            messages.append(str(error))
    assert messages == snapshot
