"""Links over TLS: certificate verification, and reloading of changed certificate files."""

from __future__ import annotations

import asyncio
import shutil
import ssl
from pathlib import Path
from typing import Final

import pytest
from msgspec.structs import replace

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.exceptions import SettingsInvalid
from gypsumrouter.helpers.tls import TlsFiles, make_client_context, make_server_context
from gypsumrouter.instances import Address, Instance
from gypsumrouter.link import ConfigurationAnnouncement, LinkPool, LinkServer, NoticeHub
from gypsumrouter.settings import Link, Tls
from gypsumrouter.util.clock import ManualClock

FILES = Path(__file__).with_name("tls_files")
KEY = b"a key of the links for tests"
UPDATE = ConfigurationAnnouncement(version=1, digest=1)
MAX_READS: Final = 200


def make_app(name: str) -> Application:
    return Application(
        name=name, role=Role.SIDE, data_centre="dc-1", region="region-1", clock=ManualClock()
    )


def install(directory: Path, name: str) -> Tls:
    """Copy a certificate and its key to a directory, and return TLS settings for them."""
    directory.mkdir(exist_ok=True)
    for suffix in (".pem", ".key"):
        target = directory / f"own{suffix}"
        target.unlink(missing_ok=True)
        shutil.copy(FILES / f"{name}{suffix}", target)
    authority = str(FILES / "ca.pem")
    return Tls(
        certificate_file=str(directory / "own.pem"),
        key_file=str(directory / "own.key"),
        ca_file=authority,
        client_ca_file=authority,
    )


async def async_can_connect(server_tls: Tls | None, client_tls: Tls | None) -> bool:
    """Return whether a notice can be sent from one process to another."""
    server_app, pool_app = make_app("side-1"), make_app("side-2")
    server = LinkServer(
        app=server_app,
        settings=Link(tls=server_tls),
        key=KEY,
        notices=NoticeHub(app=server_app),
        handler=None,
        answer_memory_bytes=1_000,
    )
    pool = LinkPool(
        app=pool_app, settings=Link(tls=client_tls), key=KEY, notices=NoticeHub(app=pool_app)
    )
    instance = Instance(
        name="side-1",
        role=Role.SIDE,
        address=await server.async_start(),
        data_centre="dc-1",
        region="region-1",
    )
    try:
        return await pool.async_send(instance=instance, notice=UPDATE)
    finally:
        await pool_app.async_stop()
        await server_app.async_stop()


async def async_read_certificate(address: Address) -> bytes:
    """Return the certificate that a listener presents."""
    tls = Tls(
        certificate_file=str(FILES / "first.pem"),
        key_file=str(FILES / "first.key"),
        ca_file=str(FILES / "ca.pem"),
    )
    _, writer = await asyncio.open_connection(
        address.host, address.port, ssl=make_client_context(tls)
    )
    presented = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
    writer.transport.abort()
    assert isinstance(presented, bytes)
    return presented


async def test_processes_with_certificates_of_one_authority_connect(tmp_path: Path) -> None:
    first = install(tmp_path / "first", "first")
    second = install(tmp_path / "second", "second")
    assert await async_can_connect(first, second)


async def test_client_rejects_a_server_certificate_of_another_authority(tmp_path: Path) -> None:
    stranger = install(tmp_path / "stranger", "stranger")
    first = install(tmp_path / "first", "first")
    assert not await async_can_connect(stranger, first)


async def test_server_rejects_a_client_certificate_of_another_authority(tmp_path: Path) -> None:
    first = install(tmp_path / "first", "first")
    stranger = install(tmp_path / "stranger", "stranger")
    assert not await async_can_connect(first, stranger)


@pytest.mark.parametrize("server_uses_tls", [True, False])
async def test_tls_and_plaintext_processes_do_not_connect(
    tmp_path: Path, server_uses_tls: bool
) -> None:
    tls = install(tmp_path / "first", "first")
    server_tls, client_tls = (tls, None) if server_uses_tls else (None, tls)
    assert not await async_can_connect(server_tls, client_tls)


async def test_replaced_certificate_is_presented_without_a_restart(tmp_path: Path) -> None:
    app = make_app("side-1")
    tls = replace(install(tmp_path / "own", "first"), client_ca_file=None)
    server = LinkServer(
        app=app,
        settings=Link(tls=tls),
        key=KEY,
        notices=NoticeHub(app=app),
        handler=None,
        answer_memory_bytes=1_000,
    )
    address = await server.async_start()
    before = await async_read_certificate(address)
    install(tmp_path / "own", "second")
    presented = before
    assert isinstance(app.clock, ManualClock)
    for _ in range(MAX_READS):
        app.clock.advance(10_000)
        try:
            presented = await async_read_certificate(address)
        except ConnectionError:
            # Advancing the clock can exceed the server's handshake timeout.
            continue
        if presented != before:
            break
    assert presented == ssl.PEM_cert_to_DER_cert((FILES / "second.pem").read_text())
    await app.async_stop()


def test_mismatched_certificate_and_key_leave_the_loaded_pair_in_use(tmp_path: Path) -> None:
    tls = install(tmp_path / "own", "first")
    context = make_server_context(tls)
    files = TlsFiles(app=make_app("side-1"), tls=tls, context=context)
    assert not files.refresh()
    Path(tls.certificate_file).unlink()
    shutil.copy(FILES / "second.pem", tls.certificate_file)
    assert not files.refresh()
    Path(tls.key_file).unlink()
    shutil.copy(FILES / "second.key", tls.key_file)
    assert files.refresh()
    assert not files.refresh()


def test_unusable_key_files_raise_settings_invalid(tmp_path: Path) -> None:
    tls = replace(install(tmp_path / "own", "first"), key_file=str(tmp_path / "missing.key"))
    with pytest.raises(SettingsInvalid):
        make_server_context(tls)
    with pytest.raises(SettingsInvalid):
        make_client_context(tls)
