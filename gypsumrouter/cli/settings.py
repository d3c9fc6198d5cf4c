"""Commands on the settings of a process."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import MISSING, fields, is_dataclass
from pathlib import Path
from typing import Any, Final, TypeVar, get_type_hints

import click
from pydantic import TypeAdapter

from gypsumrouter.const import EXIT_SETTINGS, Role
from gypsumrouter.exceptions import SettingsInvalid
from gypsumrouter.helpers.settings_file import check_settings, read_settings_file
from gypsumrouter.settings import ForwarderSettings, RouterSettings, SideSettings

NEEDED: Final = "<needed>"
_F = TypeVar("_F", bound=Callable[..., Any])


def _role_option(command: _F) -> _F:
    choice = click.Choice([role.value for role in Role])
    option = click.option("--role", required=True, type=choice, help="Whose settings these are.")
    return option(command)


@click.group("settings")
def settings_group() -> None:
    """Check and show the settings of a process."""


@settings_group.command("check")
@click.argument("file", type=click.Path(path_type=Path))
@_role_option
def check(file: Path, role: str) -> None:
    """Check FILE as the daemon does; every wrong field is named at once."""
    try:
        check_settings(role=Role(role), document=read_settings_file(file))
    except SettingsInvalid as error:
        for field_error in error.errors:
            click.echo(str(field_error), err=True)
        sys.exit(EXIT_SETTINGS)
    click.echo(f"{file}: these settings of a {role} are right")


@settings_group.command("show")
@click.option("--defaults", is_flag=True, required=True, help="Show what holds when left out.")
@_role_option
def show(defaults: bool, role: str) -> None:
    """Show every field with its default; fields without one are marked as needed."""
    match Role(role):
        case Role.ROUTER:
            shown = list_defaults(RouterSettings)
        case Role.SIDE:
            shown = list_defaults(SideSettings)
        case Role.FORWARDER:
            shown = list_defaults(ForwarderSettings)
    click.echo(json.dumps(shown, indent=2))


def list_defaults(settings: type[Any]) -> dict[str, object]:
    """Return the defaults of a data class of settings as JSON data."""
    hints = get_type_hints(settings)
    return {item.name: _get_default(item, hints[item.name]) for item in fields(settings)}


def _get_default(item: Any, hint: Any) -> object:
    if isinstance(hint, type) and is_dataclass(hint):
        return list_defaults(hint)
    if item.default is not MISSING:
        return TypeAdapter(Any).dump_python(item.default, mode="json")
    if item.default_factory is not MISSING:
        return TypeAdapter(Any).dump_python(item.default_factory(), mode="json")
    return NEEDED
