"""Writes tables as TOML, as much of it as day and site files need."""

import json
from typing import Any


def _value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        return json.dumps(value, ensure_ascii=False)
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{_key(name)} = {_value(item)}" for name, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_value(item) for item in value) + "]"
    raise TypeError(f"no TOML for {type(value).__name__}")


def _key(name: str) -> str:
    bare = name and all(letter.isascii() and (letter.isalnum() or letter in "-_") for letter in name)
    return name if bare else json.dumps(name, ensure_ascii=False)


def _line(name: str, value: Any) -> str:
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        return f"{_key(name)} = [\n" + "".join(f"  {_value(item)},\n" for item in value) + "]"
    return f"{_key(name)} = {_value(value)}"


def dumps(table: dict[str, Any], *, sections: tuple[str, ...] = ()) -> str:
    """The table as a document; those named in `sections` are lists of tables that get a header an entry."""
    lines = [_line(name, value) for name, value in table.items() if name not in sections]
    for section in sections:
        for entry in table.get(section, []):
            lines.append(f"\n[[{_key(section)}]]")
            lines.extend(_line(name, value) for name, value in entry.items())
    return "\n".join(lines) + "\n"
