"""HTTP clients for the local upstream of a side, an engine or a service."""

from __future__ import annotations

from gypsumrouter.const import UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.settings import Upstream
from gypsumrouter.upstream.engine import EngineClient
from gypsumrouter.upstream.models import (
    ConnectionBroken,
    HandOverDenied,
    LoadReport,
    Sink,
    UpstreamClient,
)
from gypsumrouter.upstream.service import ServiceClient
from gypsumrouter.upstream.transport import ConnectFailed, Transport, async_read_body

__all__ = [
    "ConnectFailed",
    "ConnectionBroken",
    "EngineClient",
    "HandOverDenied",
    "LoadReport",
    "ServiceClient",
    "Sink",
    "Transport",
    "UpstreamClient",
    "async_read_body",
    "make_client",
]


def make_client(*, app: Application, settings: Upstream) -> UpstreamClient:
    """Return the client for the configured kind of upstream."""
    match settings.kind:
        case UpstreamKind.ENGINE:
            return EngineClient(app=app, settings=settings)
        case UpstreamKind.SERVICE:
            return ServiceClient(app=app, settings=settings)
