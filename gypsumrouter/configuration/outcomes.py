"""Outcomes of offering a configuration document to the store."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.exceptions import FieldError


class Accepted(Struct, frozen=True, kw_only=True):
    """The version is in force; `changed` is False if it already was."""

    version: int
    changed: bool


class Rejected(Struct, frozen=True, kw_only=True):
    """The document is invalid and was not put in force; `version` is None if unreadable."""

    version: int | None
    errors: tuple[FieldError, ...]


class Stale(Struct, frozen=True, kw_only=True):
    """The document has a lower version than the one in force."""

    version: int
    in_force: int


OfferOutcome = Accepted | Rejected | Stale
