"""Exceptions with stable codes, for settings, start-up and invariant violations.

Failures of requests are values, not exceptions; see :mod:`gypsumrouter.outcomes`.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct


class ErrorCode(StrEnum):
    """Stable codes of errors that end a process or a command."""

    SETTINGS_INVALID = "settings_invalid"
    CONFIGURATION_INVALID = "configuration_invalid"
    NOT_READY = "not_ready"
    INVARIANT_BROKEN = "invariant_broken"
    UNREACHABLE = "unreachable"


class FieldError(Struct, frozen=True, kw_only=True):
    """An invalid field of a document: its path and the reason."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


class GypsumError(Exception):
    """Base class of all exceptions of this package that have an error code."""

    code: ErrorCode = ErrorCode.INVARIANT_BROKEN


class DocumentInvalid(GypsumError):
    """A JSON document is invalid; `errors` lists every invalid field."""

    def __init__(self, errors: tuple[FieldError, ...]) -> None:
        super().__init__("; ".join(str(error) for error in errors))
        self.errors = errors


class SettingsInvalid(DocumentInvalid):
    """The settings of a process are invalid."""

    code = ErrorCode.SETTINGS_INVALID


class ConfigurationInvalid(DocumentInvalid):
    """A configuration document is invalid."""

    code = ErrorCode.CONFIGURATION_INVALID


class NotReady(GypsumError):
    """A prerequisite of the process is not available yet; the operation may be retried."""

    code = ErrorCode.NOT_READY


class InvariantBroken(GypsumError):
    """An internal invariant is violated; the process must stop."""

    code = ErrorCode.INVARIANT_BROKEN


class Unreachable(GypsumError):
    """A process could not be reached from the command line."""

    code = ErrorCode.UNREACHABLE
