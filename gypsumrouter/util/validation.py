"""Validation of JSON documents into typed values, reporting all invalid fields at once."""

from __future__ import annotations

import ipaddress
import json
import re
import sys
from collections.abc import Iterator
from typing import Annotated, Any, Final, TypeVar, get_args, get_origin

import msgspec
from msgspec import NODEFAULT, Meta, Raw, Struct

from gypsumrouter.exceptions import DocumentInvalid, FieldError

_T = TypeVar("_T")

# The largest finite float; as a bound it excludes infinity.
MAX_FLOAT: Final = sys.float_info.max
# Integers up to this are exact in every JSON implementation.
MAX_JSON_INTEGER: Final = 2**53 - 1
# Keeps a list of all upstreams of a large fleet within one frame to a peer.
MAX_SHORT_LENGTH: Final = 200

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
PositiveFloat = Annotated[float, Meta(gt=0, le=MAX_FLOAT)]
PositiveInt = Annotated[int, Meta(gt=0)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
JsonInteger = Annotated[int, Meta(ge=-MAX_JSON_INTEGER, le=MAX_JSON_INTEGER)]
ShortText = Annotated[str, Meta(max_length=MAX_SHORT_LENGTH)]
# White space around a header's value is not part of it (RFC 9110).
HeaderText = Annotated[
    str,
    Meta(
        pattern=r"^(?![ \t])[^\x00-\x08\x0a-\x1f\x7f]*(?<![ \t])\Z",
        description="Expected text that a header can carry: no control characters, and no spaces "
        "or tabs at its ends",
    ),
]
JsonCount = Annotated[int, Meta(ge=0, le=MAX_JSON_INTEGER)]

ROOT: Final = "$"
_JSON_ERRORS: Final = (msgspec.DecodeError, UnicodeError, RecursionError)
_LONE_SURROGATE: Final = re.compile("[\ud800-\udfff]")
# The path that msgspec appends to its messages.
_LOCATION: Final = re.compile(r" - at `\$(.*)`$")


class DocumentStruct(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Base class for values validated from JSON documents; unknown fields are rejected.

    Fields with default values are omitted when encoding.
    """


def validate_json(*, kind: type[_T], document: bytes | str, strict: bool = True) -> _T:
    """Decode a JSON document into a value of `kind`.

    Without `strict`, strings such as "3" are accepted as numbers, and 3.0 as an integer. Raises
    DocumentInvalid with the path of each invalid field.
    """
    try:
        return msgspec.json.decode(document, type=kind, strict=strict)
    except msgspec.ValidationError:
        pass
    except _JSON_ERRORS as error:
        raise DocumentInvalid(_explain_malformed(document, error)) from None
    try:
        value = msgspec.json.decode(document)
    except _JSON_ERRORS as error:
        raise DocumentInvalid((FieldError(path=ROOT, message=str(error)),)) from None
    return validate_value(kind=kind, value=value, strict=strict)


def validate_value(*, kind: type[_T], value: object, strict: bool = True) -> _T:
    """Convert decoded JSON data into a value of `kind`, like `validate_json`."""
    try:
        return msgspec.convert(value, kind, strict=strict)
    except msgspec.ValidationError:
        # msgspec stops at the first error; collect all of them.
        errors = tuple(_find_errors(kind, value, ROOT, strict))
    raise DocumentInvalid(errors)


def validate_ip(**fields: str | None) -> None:
    """Raise ValueError naming the field if a value is not an IP address; None is skipped."""
    for name, value in fields.items():
        try:
            if value is not None:
                ipaddress.ip_address(value)
        except ValueError as error:
            raise ValueError(f"{name}: {error}") from None


def _find_errors(kind: Any, value: Any, path: str, strict: bool) -> Iterator[FieldError]:
    """Yield the errors of a part of a document; those of nested parts take precedence."""
    if kind is Raw:
        # The part is not checked; decoded data can't be converted into it.
        return
    inner = list(_find_inner_errors(kind, value, path, strict))
    if inner:
        yield from inner
        return
    try:
        msgspec.convert(value, kind, strict=strict)
    except msgspec.ValidationError as error:
        message = _describe(kind, value) or str(error)
        found = _LOCATION.search(str(error))
        where = "" if found is None else found.group(1)
        yield FieldError(path=path + where, message=_LOCATION.sub("", message))


def _describe(kind: Any, value: Any) -> str | None:
    """Return the description of a kind of text, which is clearer than its pattern."""
    if not isinstance(value, str) or get_origin(kind) is not Annotated:
        return None
    return next((meta.description for meta in get_args(kind)[1:] if meta.description), None)


def _explain_malformed(document: bytes | str, error: Exception) -> tuple[FieldError, ...]:
    """Return the fields whose text is not Unicode, or else the error of the whole document."""
    found = []
    try:
        parts = [(ROOT, json.loads(document))]
    except (ValueError, RecursionError):
        parts = []
    while parts:
        path, value = parts.pop()
        if isinstance(value, dict):
            parts.extend((f"{path}.{name}", inner) for name, inner in value.items())
        elif isinstance(value, list):
            parts.extend((f"{path}[{index}]", inner) for index, inner in enumerate(value))
        elif isinstance(value, str) and _LONE_SURROGATE.search(value):
            found.append(FieldError(path=path, message="Expected Unicode text"))
    return tuple(found) or (FieldError(path=ROOT, message=str(error)),)


def _find_inner_errors(kind: Any, value: Any, path: str, strict: bool) -> Iterator[FieldError]:
    kind = _unwrap(kind)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct) and isinstance(value, dict):
        yield from _find_field_errors(kind, value, path, strict)
    elif get_origin(kind) is tuple and isinstance(value, list):
        element = get_args(kind)[0]
        for index, item in enumerate(value):
            yield from _find_errors(element, item, f"{path}[{index}]", strict)


def _find_field_errors(
    kind: type[msgspec.Struct], value: dict[str, Any], path: str, strict: bool
) -> Iterator[FieldError]:
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name, field in fields.items():
        if name in value:
            yield from _find_errors(field.type, value[name], f"{path}.{name}", strict)
        elif field.default is NODEFAULT and field.default_factory is NODEFAULT:
            yield FieldError(path=f"{path}.{name}", message="The field is needed")
    if kind.__struct_config__.forbid_unknown_fields:
        for name in value.keys() - fields.keys():
            yield FieldError(path=f"{path}.{name}", message="No such field is known")


def _unwrap(kind: Any) -> Any:
    """Return a type without its Annotated metadata and without None."""
    if get_origin(kind) is Annotated:
        return _unwrap(get_args(kind)[0])
    inner = [member for member in get_args(kind) if member is not type(None)]
    if len(inner) == 1 and len(get_args(kind)) == 2 and get_origin(kind) is not tuple:
        return _unwrap(inner[0])
    return kind
