"""Messages to JSON and back: the generated dataclasses, told apart by a type name."""

import dataclasses
import json
import types as stdlib_types
import typing
from functools import cache
from typing import Any

from dockmux.runtime import messages


class Malformed(ValueError):
    """What was read is not a message of the schema."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Slot:
    """One field of a message, worked out once: its JSON type, or the message type that it holds."""

    name: str
    needed: bool
    wanted: type
    inner: type | None
    listed: bool
    optional: bool


@cache
def _slots(kind: type) -> tuple[_Slot, ...]:
    hints = typing.get_type_hints(kind)
    slots = []
    for field in dataclasses.fields(kind):
        hint = hints[field.name]
        optional = typing.get_origin(hint) in (typing.Union, stdlib_types.UnionType)
        if optional:
            hint = next(a for a in typing.get_args(hint) if a is not type(None))
        listed = typing.get_origin(hint) is list
        inner = typing.get_args(hint)[0] if listed else hint
        inner_kind = inner if dataclasses.is_dataclass(inner) else None
        no_default = field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING
        wanted = list if listed else dict if inner_kind else typing.get_origin(hint) or hint
        slots.append(
            _Slot(name=field.name, needed=no_default, wanted=wanted, inner=inner_kind, listed=listed, optional=optional)
        )
    return tuple(slots)


def from_fields(*, kind: type, fields: Any) -> Any:
    if not isinstance(fields, dict):
        raise Malformed(f"expected an object for {kind.__name__}")
    known = {}
    for slot in _slots(kind):
        if slot.name not in fields:
            if slot.needed:
                raise Malformed(f"{kind.__name__} lacks {slot.name}")
            continue
        value = fields[slot.name]
        if value is None and slot.optional:
            known[slot.name] = None
            continue
        if not isinstance(value, slot.wanted) or (value.__class__ is bool and slot.wanted is int):
            raise Malformed(f"expected {slot.wanted.__name__}, found {type(value).__name__}")
        if slot.inner is not None:
            if slot.listed:
                value = [from_fields(kind=slot.inner, fields=item) for item in value]
            else:
                value = from_fields(kind=slot.inner, fields=value)
        known[slot.name] = value
    return kind(**known)


def to_fields(*, message: Any) -> dict[str, Any]:
    fields = {}
    for slot in _slots(type(message)):
        value = getattr(message, slot.name)
        if slot.inner is not None and value is not None:
            value = [to_fields(message=item) for item in value] if slot.listed else to_fields(message=value)
        fields[slot.name] = value
    return fields


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
    kind = getattr(messages, str(packed.get("type")), None)
    if not dataclasses.is_dataclass(kind):
        raise Malformed(f"unknown type {packed.get('type')!r}")
    return from_fields(kind=kind, fields=packed)


def test_a_message_survives_the_round_trip_and_a_broken_one_is_named():
    card = messages.PeerCard(
        name="a", role="core", site="s", address="127.0.0.1:1", http="127.0.0.1:2", incarnation="i", ageMs=3
    )
    request = messages.NewsAsk(mark=4, holdMs=5, sender=card)
    assert decode(data=encode(message=request)) == request
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
