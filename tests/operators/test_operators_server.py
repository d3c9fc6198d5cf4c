"""Operator endpoint: health probes are open, metrics and state dump require the token."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.exceptions import SettingsInvalid
from gypsumrouter.fleet import Address
from gypsumrouter.operators import DUMP_VERSION, OperatorsServer, check_access
from gypsumrouter.settings import Operators

TOKEN = "a-token-of-the-operators"


@pytest.fixture
async def app() -> AsyncIterator[Application]:
    app = Application(name="entry-1", role=Role.ROUTER, data_centre="a", region="r", incarnation=7)
    app.async_start()
    app.async_started()
    yield app
    await app.async_stop()


@pytest.fixture
def token_file(tmp_path: Path) -> Path:
    file = tmp_path / "token"
    file.write_text(TOKEN + "\n")
    return file


async def async_serve(app: Application, settings: Operators, *, ready: bool = True) -> Address:
    server = OperatorsServer(
        app=app, settings=settings, access=check_access(settings), is_ready=lambda: ready
    )
    return await server.async_start()


async def async_get(address: Address, path: str, **headers: str) -> tuple[int, bytes]:
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.get(f"http://{address}{path}") as response,
    ):
        return response.status, await response.read()


@pytest.mark.parametrize(("ready", "status"), [(True, 200), (False, 503)])
async def test_readiness_depends_on_the_process_and_liveness_does_not(
    app: Application, ready: bool, status: int
) -> None:
    address = await async_serve(app, Operators(), ready=ready)
    assert (await async_get(address, "/readyz"))[0] == status
    assert (await async_get(address, "/healthz"))[0] == 200


async def test_dump_contains_its_version_and_all_sections(app: Application) -> None:
    app.add_dump_section("link", lambda: {"open": 3})
    address = await async_serve(app, Operators())
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}/dump") as response,
    ):
        dump: dict[str, Any] = await response.json()
    assert dump["dump_version"] == DUMP_VERSION
    assert (dump["instance"], dump["role"], dump["incarnation"]) == ("entry-1", "router", 7)
    assert dump["state"] == "running"
    assert dump["sections"] == {"link": {"open": 3}}


async def test_metrics_use_the_prometheus_text_format(app: Application) -> None:
    app.metrics.counter("answers_total", "Whole answers").inc(2)
    address = await async_serve(app, Operators())
    status, body = await async_get(address, "/metrics")
    assert status == 200
    assert b"answers_total 2" in body


@pytest.mark.parametrize("path", ["/dump", "/metrics"])
@pytest.mark.parametrize(
    ("authorization", "status"),
    [(f"Bearer {TOKEN}", 200), ("Bearer wrong", 401), (TOKEN, 401), ("Bearer \u00e9", 401)],
)
async def test_dump_and_metrics_require_the_token(
    app: Application, token_file: Path, path: str, authorization: str, status: int
) -> None:
    address = await async_serve(app, Operators(token_file=str(token_file)))
    assert (await async_get(address, path, Authorization=authorization))[0] == status
    assert (await async_get(address, path))[0] == 401
    assert (await async_get(address, "/healthz"))[0] == 200


@pytest.mark.parametrize("host", ["0.0.0.0", "192.0.2.1", "::"])
def test_token_is_required_unless_bound_to_loopback(host: str, token_file: Path) -> None:
    with pytest.raises(SettingsInvalid, match="token is needed"):
        check_access(Operators(host=host))
    assert check_access(Operators(host=host, token_file=str(token_file))).allows(f"Bearer {TOKEN}")


def test_missing_or_short_token_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(SettingsInvalid, match="cannot be read"):
        check_access(Operators(token_file=str(tmp_path / "missing")))
    short = tmp_path / "short"
    short.write_text("short")
    with pytest.raises(SettingsInvalid, match="at least 16 bytes"):
        check_access(Operators(token_file=str(short)))
