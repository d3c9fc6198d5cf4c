"""Access to the operator endpoint: its paths, attributes and token."""

from __future__ import annotations

import hmac
import ipaddress
from pathlib import Path
from typing import Final

from gypsumrouter.exceptions import FieldError, SettingsInvalid
from gypsumrouter.settings import Operators

DUMP_VERSION: Final = 1

PATH_ALIVE: Final = "/healthz"
PATH_READY: Final = "/readyz"
PATH_METRICS: Final = "/metrics"
PATH_DUMP: Final = "/dump"

ATTR_DUMP_VERSION: Final = "dump_version"
ATTR_INSTANCE: Final = "instance"
ATTR_ROLE: Final = "role"
ATTR_INCARNATION: Final = "incarnation"
ATTR_STATE: Final = "state"
ATTR_READY: Final = "ready"
ATTR_VERSION: Final = "version"
ATTR_WALL_MS: Final = "wall_ms"
ATTR_STARTED_WALL_MS: Final = "started_wall_ms"
ATTR_SECTIONS: Final = "sections"

CONTENT_TYPE_METRICS: Final = "text/plain; version=0.0.4; charset=utf-8"


MIN_TOKEN_BYTES: Final = 16
BEARER: Final = "Bearer "
TOKEN_PATH: Final = "$.operators.token_file"


class Access:
    """Checks the bearer token of requests; without a configured token all requests are allowed."""

    __slots__ = ("_token",)

    def __init__(self, *, token: bytes | None) -> None:
        self._token = token

    def allows(self, authorization: str) -> bool:
        """Return whether an `Authorization` header has the token; compares in constant time."""
        if self._token is None:
            return True
        if not authorization.startswith(BEARER):
            return False
        presented = authorization[len(BEARER) :].encode("utf-8", "surrogateescape")
        return hmac.compare_digest(presented, self._token)


def check_access(settings: Operators) -> Access:
    """Return the access check for the settings; raises SettingsInvalid.

    A token file is required unless the endpoint is bound to loopback.
    """
    if settings.token_file is not None:
        return Access(token=_read_token(settings.token_file))
    if ipaddress.ip_address(settings.host).is_loopback:
        return Access(token=None)
    message = "a token is needed unless the operator endpoint is bound to loopback"
    raise SettingsInvalid((FieldError(path=TOKEN_PATH, message=message),))


def _read_token(path: str) -> bytes:
    try:
        token = Path(path).read_bytes().strip()
    except OSError as error:
        message = f"cannot be read: {error.strerror}"
        raise SettingsInvalid((FieldError(path=TOKEN_PATH, message=message),)) from None
    if len(token) < MIN_TOKEN_BYTES:
        message = f"the token needs at least {MIN_TOKEN_BYTES} bytes"
        raise SettingsInvalid((FieldError(path=TOKEN_PATH, message=message),))
    return token
