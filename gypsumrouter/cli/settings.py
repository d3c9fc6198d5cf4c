"""Commands for the settings of a process."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, TypeVar

import click
import msgspec
from msgspec import NODEFAULT
from msgspec.structs import FieldInfo, fields

from gypsumrouter.const import EXIT_SETTINGS, Role
from gypsumrouter.exceptions import SettingsInvalid
from gypsumrouter.helpers.settings_file import check_settings, read_settings_file
from gypsumrouter.settings import ForwarderSettings, RouterSettings, SideSettings

REQUIRED_MARK: Final = "<needed>"
_F = TypeVar("_F", bound=Callable[..., Any])


def _role_option(command: _F) -> _F:
    choice = click.Choice([role.value for role in Role])
    option = click.option("--role", required=True, type=choice, help="Role of the process.")
    return option(command)


@click.group("settings")
def settings_group() -> None:
    """Validate the settings of a process, and show the defaults."""


@settings_group.command("check")
@click.argument("file", type=click.Path(path_type=Path))
@_role_option
def check(file: Path, role: str) -> None:
    """Validate FILE as the daemon does, and print all invalid fields."""
    try:
        check_settings(role=Role(role), document=read_settings_file(file))
    except SettingsInvalid as error:
        for field_error in error.errors:
            click.echo(str(field_error), err=True)
        sys.exit(EXIT_SETTINGS)
    click.echo(f"{file}: the settings of the {role} are valid")


@settings_group.command("show")
@click.option("--defaults", is_flag=True, required=True, help="Show the default values.")
@_role_option
def show(defaults: bool, role: str) -> None:
    """Show every field with its default; required fields are shown as <needed>."""
    match Role(role):
        case Role.ROUTER:
            shown = list_defaults(RouterSettings)
        case Role.SIDE:
            shown = list_defaults(SideSettings)
        case Role.FORWARDER:
            shown = list_defaults(ForwarderSettings)
    click.echo(json.dumps(shown, indent=2))


def list_defaults(settings: type[msgspec.Struct]) -> dict[str, object]:
    """Return the defaults of a settings class as JSON data."""
    return {item.name: _get_default(item) for item in fields(settings)}


def _get_default(item: FieldInfo) -> object:
    if isinstance(item.type, type) and issubclass(item.type, msgspec.Struct):
        return list_defaults(item.type)
    if item.default is not NODEFAULT:
        return msgspec.to_builtins(item.default, enc_hook=str)
    if item.default_factory is not NODEFAULT:
        return msgspec.to_builtins(item.default_factory(), enc_hook=str)
    return REQUIRED_MARK
