"""The settings file of a process, read and checked whole."""

from __future__ import annotations

from pathlib import Path

from gypsumrouter.const import Role
from gypsumrouter.exceptions import FieldError, SettingsInvalid
from gypsumrouter.operators import check_access
from gypsumrouter.settings import (
    RouterSettings,
    Settings,
    SideSettings,
    check_router_settings,
    check_side_settings,
    read_link_key,
)


def read_settings_file(path: Path) -> bytes:
    """Return the document; raises SettingsInvalid when the file cannot be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        message = f"{path} cannot be read: {error.strerror}"
        raise SettingsInvalid((FieldError(path="$", message=message),)) from None


def check_settings(*, role: Role, document: bytes) -> Settings:
    """Return checked settings; raises SettingsInvalid.

    The secrets that the settings name must be there; they are read and thrown away.
    """
    match role:
        case Role.ROUTER:
            settings: Settings = check_router_settings(document)
        case Role.SIDE:
            settings = check_side_settings(document)
    errors = list_secret_errors(settings)
    if errors:
        raise SettingsInvalid(errors)
    return settings


def list_secret_errors(settings: Settings) -> tuple[FieldError, ...]:
    """Return what is wrong with the secrets that the settings name."""
    errors: list[FieldError] = []
    try:
        read_link_key(settings.link)
    except SettingsInvalid as error:
        errors.extend(error.errors)
    try:
        check_access(settings.operators)
    except SettingsInvalid as error:
        errors.extend(error.errors)
    return tuple(errors)


def get_role(settings: Settings) -> Role:
    """Return the role that the settings are for."""
    match settings:
        case RouterSettings():
            return Role.ROUTER
        case SideSettings():
            return Role.SIDE
