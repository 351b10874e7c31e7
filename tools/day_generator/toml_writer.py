"""Formats tables as TOML, limited to the value types that day and site files use."""

import json
from typing import Any


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        return json.dumps(value, ensure_ascii=False)
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{_format_key(name)} = {_format_value(item)}" for name, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_format_value(item) for item in value) + "]"
    raise TypeError(f"cannot format a value of type {type(value).__name__} as TOML")


def _format_key(name: str) -> str:
    is_bare_key = name and all(character.isascii() and (character.isalnum() or character in "-_") for character in name)
    return name if is_bare_key else json.dumps(name, ensure_ascii=False)


def _format_pair(name: str, value: Any) -> str:
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        return f"{_format_key(name)} = [\n" + "".join(f"  {_format_value(item)},\n" for item in value) + "]"
    return f"{_format_key(name)} = {_format_value(value)}"


def format_toml(table: dict[str, Any], *, sections: tuple[str, ...] = ()) -> str:
    """Formats the table as a TOML document.

    The values named in `sections` are lists of tables, written as arrays of tables with a [[header]] for each entry.
    Raises TypeError for a value of an unsupported type.
    """
    lines = [_format_pair(name, value) for name, value in table.items() if name not in sections]
    for section in sections:
        for entry in table.get(section, []):
            lines.append(f"\n[[{_format_key(section)}]]")
            lines.extend(_format_pair(name, value) for name, value in entry.items())
    return "\n".join(lines) + "\n"
