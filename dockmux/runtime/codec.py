"""Encodes the generated message dataclasses as JSON and back; the class name is the value of "type"."""

import contextlib
import dataclasses
import json
import types as stdlib_types
import typing
from collections.abc import Iterator
from functools import cache
from typing import Any

from dockmux.runtime import messages
from dockmux.runtime.bounded_json import MAX_LARGE_VALUES, parse_json
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent

# Times are in microseconds or coarser units: beyond this no duration can be computed.
MAX_INTEGER = 10**16


class MessageFormatError(ValueError):
    """The data is not a message of the schema."""


# What using the content of a well-formed message can raise where its free-form fields hold something unexpected.
CONTENT_ERRORS = (ValueError, TypeError, LookupError, AttributeError, ArithmeticError)


@contextlib.contextmanager
def ignoring_malformed(*, host: Host) -> Iterator[None]:
    """Logs and drops a message whose content cannot be used; the receiving task goes on with the next one."""
    try:
        yield
    except CONTENT_ERRORS as error:
        host.log(LogEvent.BAD_FRAME, error=f"{type(error).__name__}: {error}"[:200])


def check_number(value: Any) -> int | float:
    """A number from a free-form field; raises MessageFormatError for anything that cannot be computed with."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not -MAX_INTEGER <= value <= MAX_INTEGER:
        raise MessageFormatError("no number of a usable size")
    return value


@dataclasses.dataclass(frozen=True, kw_only=True)
class _FieldSpec:
    """One field of a message class: its JSON type and, for nested messages, their class. Computed once per class."""

    name: str
    required: bool
    json_type: type
    message_type: type | None
    is_list: bool
    optional: bool


@cache
def _field_specs(message_type: type) -> tuple[_FieldSpec, ...]:
    hints = typing.get_type_hints(message_type)
    specs = []
    for field in dataclasses.fields(message_type):
        hint = hints[field.name]
        optional = typing.get_origin(hint) in (typing.Union, stdlib_types.UnionType)
        if optional:
            hint = next(a for a in typing.get_args(hint) if a is not type(None))
        is_list = typing.get_origin(hint) is list
        item_type = typing.get_args(hint)[0] if is_list else hint
        nested_type = item_type if dataclasses.is_dataclass(item_type) else None
        required = field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING
        json_type = list if is_list else dict if nested_type else typing.get_origin(hint) or hint
        specs.append(
            _FieldSpec(
                name=field.name,
                required=required,
                json_type=json_type,
                message_type=nested_type,
                is_list=is_list,
                optional=optional,
            )
        )
    return tuple(specs)


def from_fields(*, message_type: type, fields: Any) -> Any:
    """A message from its JSON object. Unknown keys are ignored; raises MessageFormatError."""
    if not isinstance(fields, dict):
        raise MessageFormatError(f"expected an object for {message_type.__name__}")
    known = {}
    for spec in _field_specs(message_type):
        if spec.name not in fields:
            if spec.required:
                raise MessageFormatError(f"{message_type.__name__} lacks {spec.name}")
            continue
        value = fields[spec.name]
        if value is None and spec.optional:
            known[spec.name] = None
            continue
        if value.__class__ is int and abs(value) > MAX_INTEGER:
            raise MessageFormatError(f"{spec.name} is too large a number")
        if not isinstance(value, spec.json_type) or (value.__class__ is bool and spec.json_type is int):
            raise MessageFormatError(f"expected {spec.json_type.__name__}, found {type(value).__name__}")
        if spec.message_type is not None:
            if spec.is_list:
                value = [from_fields(message_type=spec.message_type, fields=item) for item in value]
            else:
                value = from_fields(message_type=spec.message_type, fields=value)
        known[spec.name] = value
    return message_type(**known)


def to_fields(*, message: Any) -> dict[str, Any]:
    """A message as a JSON object, without its type."""
    fields = {}
    for spec in _field_specs(type(message)):
        value = getattr(message, spec.name)
        if spec.message_type is not None and value is not None:
            value = [to_fields(message=item) for item in value] if spec.is_list else to_fields(message=value)
        fields[spec.name] = value
    return fields


def encode(*, message: Any) -> bytes:
    """A message as JSON text, with its type."""
    fields_with_type = {"type": type(message).__name__, **to_fields(message=message)}
    return json.dumps(fields_with_type, separators=(",", ":")).encode()


def decode(*, data: bytes, max_values: int = MAX_LARGE_VALUES) -> Any:
    """A message from JSON text; raises MessageFormatError."""
    try:
        fields_with_type = parse_json(data=data, max_values=max_values)
    except ValueError as error:
        raise MessageFormatError(f"not JSON: {error}") from None
    if not isinstance(fields_with_type, dict):
        raise MessageFormatError("expected an object")
    message_type = getattr(messages, str(fields_with_type.get("type")), None)
    if not dataclasses.is_dataclass(message_type):
        raise MessageFormatError(f"unknown type {fields_with_type.get('type')!r}")
    return from_fields(message_type=message_type, fields=fields_with_type)


def test_a_message_survives_the_round_trip_and_malformed_ones_are_reported():
    card = messages.PeerCard(
        name="a", role="core", site="s", address="127.0.0.1:1", http="127.0.0.1:2", incarnation="i", ageMs=3
    )
    request = messages.NewsAsk(mark=4, holdMs=5, sender=card)
    assert decode(data=encode(message=request)) == request
    reported = []
    for data in (
        b"no",
        b"[]",
        b'{"type":"Any"}',
        b'{"type":"NewsAsk","mark":1}',
        b'{"type":"NewsAsk","mark":true,"holdMs":1,"sender":{}}',
    ):
        try:
            decode(data=data)
        except MessageFormatError as error:
            reported.append(str(error))
    assert reported[1:] == [
        "expected an object",
        "unknown type 'Any'",
        "NewsAsk lacks holdMs",
        "expected int, found bool",
    ]
