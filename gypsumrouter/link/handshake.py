"""The handshake: both ends prove possession of the shared key before other frames are read."""

from __future__ import annotations

import hmac
import secrets
from typing import Final

from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.link.codec import (
    Greeting,
    decode_goodbye,
    decode_greeting,
    decode_proof,
    encode_greeting,
    encode_proof,
)
from gypsumrouter.link.connection import Connection
from gypsumrouter.link.const import NONCE_BYTES, PROTOCOL_VERSION, Kind
from gypsumrouter.link.frames import FrameError
from gypsumrouter.link.models import Hello

_HASH: Final = "sha256"
_LABEL_DIALER: Final = b"gypsumrouter link dialer"
_LABEL_SERVER: Final = b"gypsumrouter link server"
_LENGTH_BYTES: Final = 4


class HandshakeFailed(Exception):
    """The peer has another identity or protocol version, or it closed the connection."""


class WrongKey(HandshakeFailed):
    """The peer has another key."""


class Accepted(Struct, frozen=True, kw_only=True):
    """An authenticated dialer; `challenged_ms` is the time at which it was sent the nonce."""

    greeting: Greeting
    challenged_ms: int


def make_greeting(*, app: Application, attempt: int, window_bytes: int) -> Greeting:
    """Return the content of this process's HELLO frame for a new connection."""
    hello = Hello(name=app.name, role=app.role, incarnation=app.incarnation)
    return Greeting(
        version=PROTOCOL_VERSION,
        hello=hello,
        attempt=attempt,
        nonce=secrets.token_bytes(NONCE_BYTES),
        window_bytes=window_bytes,
    )


async def async_dialer_handshake(
    *, connection: Connection, greeting: Greeting, key: bytes, expected_name: str | None
) -> Greeting:
    """Run the dialer's part of the handshake and return the server's greeting.

    Without `expected_name` a server with any name is accepted. The caller sets the timeout. Raises
    HandshakeFailed or FrameError.
    """
    own = encode_greeting(greeting)
    connection.send(Kind.HELLO, body=own)
    theirs = await _async_expect(connection, Kind.HELLO)
    mac = decode_proof(await _async_expect(connection, Kind.PROOF))
    if not hmac.compare_digest(mac, _make_mac(key, _LABEL_SERVER, own, theirs)):
        raise WrongKey("the server's proof does not match the shared key")
    server = _check_greeting(theirs)
    if expected_name is not None and server.hello.name != expected_name:
        raise HandshakeFailed(f"expected server {expected_name}, got {server.hello.name}")
    connection.raise_frame_limit()
    connection.send(Kind.PROOF, body=encode_proof(_make_mac(key, _LABEL_DIALER, own, theirs)))
    await _async_expect(connection, Kind.WELCOME)
    return server


async def async_server_handshake(
    *, connection: Connection, greeting: Greeting, key: bytes
) -> Accepted:
    """Run the server's part of the handshake up to the dialer's proof.

    The caller sets the timeout and sends WELCOME. Raises HandshakeFailed or FrameError.
    """
    theirs = await _async_expect(connection, Kind.HELLO)
    dialer = _check_greeting(theirs)
    own = encode_greeting(greeting)
    challenged_ms = connection.clock.now_ms()
    connection.send(Kind.HELLO, body=own)
    connection.send(Kind.PROOF, body=encode_proof(_make_mac(key, _LABEL_SERVER, theirs, own)))
    mac = decode_proof(await _async_expect(connection, Kind.PROOF))
    if not hmac.compare_digest(mac, _make_mac(key, _LABEL_DIALER, theirs, own)):
        raise WrongKey("the dialer's proof does not match the shared key")
    return Accepted(greeting=dialer, challenged_ms=challenged_ms)


def to_seconds(delay_ms: int) -> float:
    """Convert milliseconds to the seconds that asyncio uses."""
    return delay_ms / MS_PER_S


async def _async_expect(connection: Connection, kind: Kind) -> bytes:
    frame = await connection.async_read()
    if frame is None:
        raise HandshakeFailed(f"expected {kind.name}, but the connection was closed")
    if frame.kind == Kind.GOODBYE:
        raise HandshakeFailed(f"expected {kind.name}, got GOODBYE: {decode_goodbye(frame.body)}")
    if frame.kind != kind:
        raise FrameError(f"frame kind {frame.kind} instead of {kind.name}")
    return frame.body


def _check_greeting(body: bytes) -> Greeting:
    greeting = decode_greeting(body)
    if greeting.version != PROTOCOL_VERSION:
        raise HandshakeFailed(
            f"expected protocol version {PROTOCOL_VERSION}, got {greeting.version}"
        )
    if len(greeting.nonce) != NONCE_BYTES or not greeting.hello.name:
        raise FrameError("a greeting without name or nonce")
    if greeting.window_bytes == 0:
        raise FrameError("a greeting without a window")
    return greeting


def _make_mac(key: bytes, label: bytes, dialer: bytes, server: bytes) -> bytes:
    """Return the authentication code over the sender's label and the HELLO bodies of both ends."""
    parts = (label, dialer, server)
    text = b"".join(len(part).to_bytes(_LENGTH_BYTES, "little") + part for part in parts)
    return hmac.digest(key, text, _HASH)
