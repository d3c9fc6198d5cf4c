"""What becomes of a configuration document that is offered to a store."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumrouter.exceptions import FieldError


@dataclass(slots=True, kw_only=True, frozen=True)
class Accepted:
    """The version is in force; `changed` is False where it was before."""

    version: int
    changed: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class Rejected:
    """The document is wrong, and what was in force stays; `version` is None if unreadable."""

    version: int | None
    errors: tuple[FieldError, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class Older:
    """The document is older than what is in force."""

    version: int
    in_force: int


Offer = Accepted | Rejected | Older
