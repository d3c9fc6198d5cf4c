"""Exceptions with stable codes, for settings, start-up and broken invariants only.

Whatever can happen to a request is a value, see :mod:`gypsumrouter.outcomes`.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct


class ErrorCode(StrEnum):
    """Stable codes of the errors that stop a process or a command."""

    SETTINGS_INVALID = "settings_invalid"
    CONFIGURATION_INVALID = "configuration_invalid"
    NOT_READY = "not_ready"
    INVARIANT_BROKEN = "invariant_broken"
    UNREACHABLE = "unreachable"


class FieldError(Struct, frozen=True, kw_only=True):
    """One wrong field: its path in the document, and what is wrong with it."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


class GypsumError(Exception):
    """Base of every exception that the product raises on purpose."""

    code: ErrorCode = ErrorCode.INVARIANT_BROKEN


class DocumentInvalid(GypsumError):
    """A JSON document was refused; `errors` names every wrong field at once."""

    def __init__(self, errors: tuple[FieldError, ...]) -> None:
        super().__init__("; ".join(str(error) for error in errors))
        self.errors = errors


class SettingsInvalid(DocumentInvalid):
    """The settings of a process are wrong."""

    code = ErrorCode.SETTINGS_INVALID


class ConfigurationInvalid(DocumentInvalid):
    """A configuration document is wrong."""

    code = ErrorCode.CONFIGURATION_INVALID


class NotReady(GypsumError):
    """Something that a process needs is not there yet; trying again may help."""

    code = ErrorCode.NOT_READY


class InvariantBroken(GypsumError):
    """The program contradicts itself; the process must stop."""

    code = ErrorCode.INVARIANT_BROKEN


class Unreachable(GypsumError):
    """A command could not reach a process."""

    code = ErrorCode.UNREACHABLE
