"""Requests to the upstream of a side that stops."""

from __future__ import annotations

import pytest

from gypsumrouter.const import UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.settings import Upstream
from gypsumrouter.upstream.transport import ConnectFailed, Transport


# Guards against an unexpected exception for a request that begins as its side stops.
async def test_request_after_the_session_was_closed_raises_an_unknown_error(
    app: Application,
) -> None:
    settings = Upstream(pool="models", kind=UpstreamKind.ENGINE, port=1)
    transport = Transport(app=app, settings=settings)
    transport.open_session()
    await transport.async_close()
    with pytest.raises(ConnectFailed):
        await transport.async_open(method="GET", path="/health")
