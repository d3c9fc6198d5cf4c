"""What becomes of a configuration document that is offered to a store."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.exceptions import FieldError


class Accepted(Struct, frozen=True, kw_only=True):
    """The version is in force; `changed` is False where it was before."""

    version: int
    changed: bool


class Rejected(Struct, frozen=True, kw_only=True):
    """The document is wrong, and what was in force stays; `version` is None if unreadable."""

    version: int | None
    errors: tuple[FieldError, ...]


class Stale(Struct, frozen=True, kw_only=True):
    """The document is older than what is in force."""

    version: int
    in_force: int


OfferOutcome = Accepted | Rejected | Stale
