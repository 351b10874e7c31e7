"""Messages to JSON and back: the generated dataclasses, told apart by a type name."""

import dataclasses
import json
import types as stdlib_types
import typing
from functools import cache
from typing import Any

from dockmux.accord import types


class Malformed(ValueError):
    """What was read is not a message of the schema."""


@cache
def _hints(kind: type) -> dict[str, Any]:
    return typing.get_type_hints(kind)


def _read(*, hint: Any, value: Any) -> Any:
    origin = typing.get_origin(hint)
    if origin in (typing.Union, stdlib_types.UnionType):
        if value is None:
            return None
        return _read(hint=next(a for a in typing.get_args(hint) if a is not type(None)), value=value)
    if dataclasses.is_dataclass(hint):
        return from_fields(kind=hint, fields=value)
    if origin is list:
        if not isinstance(value, list):
            raise Malformed(f"expected a list, found {type(value).__name__}")
        (inner,) = typing.get_args(hint)
        return [_read(hint=inner, value=item) for item in value]
    wanted = origin or hint
    if wanted is Any:
        return value
    if not isinstance(value, wanted) or (wanted is int and isinstance(value, bool)):
        raise Malformed(f"expected {wanted.__name__}, found {type(value).__name__}")
    return value


def from_fields(*, kind: type, fields: Any) -> Any:
    if not isinstance(fields, dict):
        raise Malformed(f"expected an object for {kind.__name__}")
    known = {}
    hints = _hints(kind)
    for field in dataclasses.fields(kind):
        if field.name in fields:
            known[field.name] = _read(hint=hints[field.name], value=fields[field.name])
        elif field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING:
            raise Malformed(f"{kind.__name__} lacks {field.name}")
    return kind(**known)


def to_fields(*, message: Any) -> dict[str, Any]:
    return dataclasses.asdict(message)


def encode(*, message: Any) -> bytes:
    packed = {"type": type(message).__name__, **to_fields(message=message)}
    return json.dumps(packed, separators=(",", ":")).encode()


def decode(*, data: bytes) -> Any:
    try:
        packed = json.loads(data)
    except ValueError as error:
        raise Malformed(f"not JSON: {error}") from None
    if not isinstance(packed, dict):
        raise Malformed("expected an object")
    kind = getattr(types, str(packed.get("type")), None)
    if not dataclasses.is_dataclass(kind):
        raise Malformed(f"unknown type {packed.get('type')!r}")
    return from_fields(kind=kind, fields=packed)


def test_a_message_survives_the_round_trip_and_a_broken_one_is_named():
    card = types.PeerCard(
        name="a", role="core", site="s", address="127.0.0.1:1", http="127.0.0.1:2", incarnation="i", ageMs=3
    )
    ask = types.NewsAsk(mark=4, holdMs=5, sender=card)
    assert decode(data=encode(message=ask)) == ask
    found = []
    for data in (
        b"no",
        b"[]",
        b'{"type":"Any"}',
        b'{"type":"NewsAsk","mark":1}',
        b'{"type":"NewsAsk","mark":true,"holdMs":1,"sender":{}}',
    ):
        try:
            decode(data=data)
        except Malformed as error:
            found.append(str(error))
    assert found[1:] == [
        "expected an object",
        "unknown type 'Any'",
        "NewsAsk lacks holdMs",
        "expected int, found bool",
    ]
