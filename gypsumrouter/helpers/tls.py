"""TLS contexts that reload their certificate files when these change."""

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
    """Return the TLS context of a listener; raises SettingsInvalid if a file is unusable."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, tls, tls.client_ca_file)
    if tls.client_ca_file is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(tls: Tls, *, check_hostname: bool = False) -> ssl.SSLContext:
    """Return the TLS context of a client, which presents its own certificate on request.

    Server certificates are verified against `ca_file`, or by default against the system's
    authorities. Host names are checked only with `check_hostname`, because instances are replaced
    at other addresses. Raises SettingsInvalid if a file is unusable.
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
    """Reloads the certificate chain of a context when one of its files changes.

    New connections use the reloaded chain. Authorities are only added: a removed one stays trusted
    until the process is restarted.
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
        """Start to poll the files for changes until the application stops."""
        self._app.async_create_task(self._async_watch(), "TLS files")

    def refresh(self) -> bool:
        """Reload the files if they changed; return whether a new chain was loaded.

        Unusable files, such as a certificate without its key, leave the loaded chain in use.
        """
        files_state = read_files_state(self._tls)
        if files_state == self._files_state:
            return False
        try:
            # A mismatched pair could change part of the context, so it is tested on another one.
            _load(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), self._tls, None)
            _load(self._context, self._tls, self._get_authority())
        except SettingsInvalid as error:
            _LOGGER.warning(
                "Changed TLS files are unusable (%s); keeping the loaded certificate", error
            )
            return False
        self._files_state = files_state
        _LOGGER.info("Reloaded the changed TLS files")
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
    """Return the modification times and inodes of the files; does blocking file access."""
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
