"""TLS contexts from settings, whose key files are read again when they change."""

from __future__ import annotations

import asyncio
import logging
import ssl
from pathlib import Path
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.exceptions import FieldError, SettingsInvalid
from gypsumrouter.settings import Tls

_LOGGER = logging.getLogger(__name__)

DEFAULT_RELOAD_MS: Final = 5_000
_FIELD_TLS: Final = "$.tls"

FilesState = tuple[tuple[int, int], ...]


def make_server_context(tls: Tls) -> ssl.SSLContext:
    """Return the context of a listener; raises SettingsInvalid when a file is wrong."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, tls, tls.client_ca_file)
    if tls.client_ca_file is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(tls: Tls, *, check_hostname: bool = False) -> ssl.SSLContext:
    """Return the context of a client, which shows its own certificate when asked.

    The server's certificate must be of `ca_file`, or of the system's authorities without it.
    Instances are replaced at other addresses, so that names are checked only on request. Raises
    SettingsInvalid when a file is wrong.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = check_hostname
    context.verify_mode = ssl.CERT_REQUIRED
    if tls.ca_file is None:
        context.load_default_certs(ssl.Purpose.SERVER_AUTH)
    _load(context, tls, tls.ca_file)
    return context


class TlsFiles:
    """Load a certificate chain again into its context when a file changes.

    Connections made after that use it. Authorities are only added: one that was removed stays
    trusted until the process is replaced.
    """

    __slots__ = ("_app", "_context", "_files_state", "_reload_ms", "_tls")

    def __init__(
        self,
        *,
        app: Application,
        tls: Tls,
        context: ssl.SSLContext,
        reload_ms: int = DEFAULT_RELOAD_MS,
    ) -> None:
        self._app = app
        self._tls = tls
        self._context = context
        self._reload_ms = reload_ms
        self._files_state = read_files_state(tls)

    def async_start(self) -> None:
        """Look at the files from time to time until the application stops."""
        self._app.async_create_task(self._async_watch(), "TLS files")

    def refresh(self) -> bool:
        """Read the files again if they changed; return whether they were taken.

        Files that are wrong, such as half of a pair, leave the old chain in force.
        """
        files_state = read_files_state(self._tls)
        if files_state == self._files_state:
            return False
        try:
            # A wrong pair would leave the context half changed, so it is tried on another one.
            _load(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), self._tls, None)
            _load(self._context, self._tls, self._get_authority())
        except SettingsInvalid as error:
            _LOGGER.warning("Changed TLS files are not taken: %s", error)
            return False
        self._files_state = files_state
        _LOGGER.info("TLS files were read again")
        return True

    def _get_authority(self) -> str | None:
        if self._context.protocol is ssl.PROTOCOL_TLS_SERVER:
            return self._tls.client_ca_file
        return self._tls.ca_file

    async def _async_watch(self) -> None:
        while True:
            await self._app.clock.async_sleep(self._reload_ms)
            await asyncio.to_thread(self.refresh)


def read_files_state(tls: Tls) -> FilesState:
    """Return what changes when one of the files is written; blocks for a moment."""
    paths = (tls.certificate_file, tls.key_file, tls.ca_file, tls.client_ca_file)
    return tuple(_read_file_state(path) for path in paths if path is not None)


def _read_file_state(path: str) -> tuple[int, int]:
    try:
        stat = Path(path).stat()
    except OSError:
        return (0, 0)
    return (stat.st_mtime_ns, stat.st_ino)


def _load(context: ssl.SSLContext, tls: Tls, authority: str | None) -> None:
    try:
        context.load_cert_chain(tls.certificate_file, tls.key_file)
        if authority is not None:
            context.load_verify_locations(authority)
    except (OSError, ssl.SSLError) as error:
        message = f"the key files cannot be used: {error}"
        raise SettingsInvalid((FieldError(path=_FIELD_TLS, message=message),)) from None
