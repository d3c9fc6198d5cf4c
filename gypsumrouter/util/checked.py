"""JSON documents checked into plain data classes, with every wrong field named at once."""

from __future__ import annotations

from typing import Annotated, ClassVar, TypeVar

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from gypsumrouter.exceptions import DocumentInvalid, FieldError

_T = TypeVar("_T")

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
PositiveFloat = Annotated[float, Field(gt=0, allow_inf_nan=False)]
PositiveInt = Annotated[int, Field(gt=0)]
NotNegativeInt = Annotated[int, Field(ge=0)]


class Checked:
    """Base of the data classes that JSON documents are checked into; unknown fields are wrong."""

    __slots__ = ()
    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid")


def check_json(*, adapter: TypeAdapter[_T], document: bytes | str) -> _T:
    """Return the document as data classes.

    Raises DocumentInvalid with the path of each wrong field.
    """
    try:
        return adapter.validate_json(document)
    except ValidationError as error:
        raise DocumentInvalid(list_field_errors(error)) from None


def list_field_errors(error: ValidationError) -> tuple[FieldError, ...]:
    """Return the path and the message of each wrong field, without the values themselves."""
    return tuple(
        FieldError(path=format_path(detail["loc"]), message=detail["msg"])
        for detail in error.errors(include_url=False, include_input=False, include_context=False)
    )


def format_path(location: tuple[int | str, ...]) -> str:
    """Return a location as a JSON path such as `$.pools[0].name`."""
    path = "$"
    for step in location:
        path += f"[{step}]" if isinstance(step, int) else f".{step}"
    return path
