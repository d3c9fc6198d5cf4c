"""Reloads the settings file of a running process after a signal or when the file changes."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Final

from msgspec.structs import fields

from gypsumrouter.core import Application
from gypsumrouter.exceptions import SettingsInvalid
from gypsumrouter.helpers.settings_file import read_settings_file
from gypsumrouter.journal import Journal, SettingsReloaded
from gypsumrouter.settings import ForwarderSettings

POLL_INTERVAL_MS: Final = 1_000

Check = Callable[[bytes], ForwarderSettings]
Apply = Callable[[ForwarderSettings], tuple[str, ...]]


class SettingsWatcher:
    """Reads the file after a change and passes the settings to `apply`.

    `apply` returns the names of the sections that it applied; changes of other sections take effect
    at the next start. An unreadable or invalid file changes nothing.
    """

    __slots__ = ("_app", "_apply", "_check", "_file_state", "_journal", "_path", "_settings")

    def __init__(
        self,
        *,
        app: Application,
        journal: Journal,
        path: Path,
        settings: ForwarderSettings,
        check: Check,
        apply: Apply,
    ) -> None:
        self._app = app
        self._journal = journal
        self._path = path
        self._settings = settings
        self._check = check
        self._apply = apply
        self._file_state = self._read_file_state()

    def async_start(self) -> None:
        """Start to poll the file for changes."""
        self._app.async_create_task(self._async_watch(), "settings")

    def reload(self) -> None:
        """Read the file, apply the changed settings and record the reload in the journal."""
        self._file_state = self._read_file_state()
        try:
            settings = self._check(read_settings_file(self._path))
        except SettingsInvalid as invalid:
            self._journal.record(SettingsReloaded(changed=(), applied=(), error=str(invalid)))
            return
        changed = self._list_changed(settings)
        applied = self._apply(settings) if changed else ()
        self._settings = settings
        self._journal.record(
            SettingsReloaded(
                changed=changed,
                applied=tuple(name for name in changed if name in applied),
                error="",
            )
        )

    def _list_changed(self, settings: ForwarderSettings) -> tuple[str, ...]:
        names = (field.name for field in fields(settings))
        return tuple(n for n in names if getattr(settings, n) != getattr(self._settings, n))

    def _read_file_state(self) -> tuple[int, int, int] | None:
        """Return the modification time, size and inode of the file, or None if it is missing."""
        try:
            status = self._path.stat()
        except OSError:
            # The file may be in the middle of a replacement; `reload` reports lasting errors.
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    async def _async_watch(self) -> None:
        while True:
            await self._app.clock.async_sleep(POLL_INTERVAL_MS)
            if self._read_file_state() != self._file_state:
                self.reload()
