"""Reading and validating the settings file of a process."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TypeVar

from gypsumrouter.const import Role
from gypsumrouter.exceptions import DocumentInvalid, FieldError, InvariantBroken, SettingsInvalid
from gypsumrouter.helpers.tls import make_server_context
from gypsumrouter.operators import check_access
from gypsumrouter.settings import (
    ForwarderSettings,
    Link,
    LinkedSettings,
    Operators,
    RouterSettings,
    Settings,
    SideSettings,
    check_forwarder_settings,
    check_router_settings,
    check_side_settings,
    read_link_key,
)
from gypsumrouter.util.validation import validate_json

_T = TypeVar("_T")


def read_settings_file(path: Path) -> bytes:
    """Return the contents of the file; raises SettingsInvalid if it cannot be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        message = f"{path} cannot be read: {error.strerror}"
        raise SettingsInvalid((FieldError(path="$", message=message),)) from None


def check_settings(*, role: Role, document: bytes) -> Settings:
    """Return the validated settings; raises SettingsInvalid with all errors.

    The secrets and TLS files that the settings refer to are read to check that they are usable.
    """
    try:
        settings = _check_fields(role, document)
    except SettingsInvalid as error:
        raise SettingsInvalid((*error.errors, *_list_section_errors(document))) from None
    errors = _list_link_errors(settings.link)
    if not isinstance(settings, ForwarderSettings):
        errors += (*_list_operators_errors(settings.operators), *_list_tls_errors(settings))
    if errors:
        raise SettingsInvalid(errors)
    return settings


def check_linked_settings(*, role: Role, document: bytes) -> LinkedSettings:
    """Return the validated settings of a router or a side; raises SettingsInvalid."""
    settings = check_settings(role=role, document=document)
    if isinstance(settings, ForwarderSettings):
        raise InvariantBroken(
            "expected settings of a router or a side, got settings of a forwarder"
        )
    return settings


def _check_fields(role: Role, document: bytes) -> Settings:
    match role:
        case Role.ROUTER:
            return check_router_settings(document)
        case Role.SIDE:
            return check_side_settings(document)
        case Role.FORWARDER:
            return check_forwarder_settings(document)


def _list_section_errors(document: bytes) -> tuple[FieldError, ...]:
    """Return the errors of the secrets in a document whose other sections may be invalid."""
    errors: tuple[FieldError, ...] = ()
    link = _read_section(document, "link", Link)
    if link is not None:
        errors += _list_link_errors(link)
    operators = _read_section(document, "operators", Operators)
    if operators is not None:
        errors += _list_operators_errors(operators)
    return errors


def _read_section(document: bytes, name: str, kind: type[_T]) -> _T | None:
    try:
        sections = json.loads(document)
        return validate_json(kind=kind, document=json.dumps(sections[name]))
    except (ValueError, KeyError, TypeError, DocumentInvalid, RecursionError):
        return None


def _list_link_errors(link: Link) -> tuple[FieldError, ...]:
    try:
        read_link_key(link)
    except SettingsInvalid as error:
        return error.errors
    return ()


def _list_operators_errors(operators: Operators) -> tuple[FieldError, ...]:
    try:
        check_access(operators)
    except SettingsInvalid as error:
        return error.errors
    return ()


def _list_tls_errors(settings: RouterSettings | SideSettings) -> tuple[FieldError, ...]:
    sections = {"operators": settings.operators.tls, "link": settings.link.tls}
    match settings:
        case RouterSettings():
            sections["callers"] = settings.callers.tls
        case SideSettings():
            sections["upstream"] = settings.upstream.tls
    errors: list[FieldError] = []
    for name, tls in sections.items():
        try:
            if tls is not None:
                make_server_context(tls)
        except SettingsInvalid as error:
            errors += [FieldError(path=f"$.{name}.tls", message=e.message) for e in error.errors]
    return tuple(errors)


def get_role(settings: Settings) -> Role:
    """Return the role that the settings belong to."""
    match settings:
        case RouterSettings():
            return Role.ROUTER
        case SideSettings():
            return Role.SIDE
        case ForwarderSettings():
            return Role.FORWARDER
