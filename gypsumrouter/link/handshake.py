"""The handshake: both ends prove that they hold the shared key before anything else is read."""

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
    """The peer is not who it should be, or it left."""


class WrongKey(HandshakeFailed):
    """The peer does not hold the shared key."""


class Accepted(Struct, frozen=True, kw_only=True):
    """A dialer that has proved itself; `challenged_ms` is when its nonce was sent."""

    greeting: Greeting
    challenged_ms: int


def make_greeting(*, app: Application, attempt: int, window_bytes: int) -> Greeting:
    """Return what this process says first on a new connection."""
    hello = Hello(name=app.name, role=app.role, incarnation=app.incarnation)
    return Greeting(
        version=PROTOCOL_VERSION,
        hello=hello,
        attempt=attempt,
        nonce=secrets.token_bytes(NONCE_BYTES),
        window_bytes=window_bytes,
    )


async def async_dial(
    *, connection: Connection, greeting: Greeting, key: bytes, expected_name: str | None
) -> Greeting:
    """Run the dialer's part and return the server's greeting; without a name any may answer.

    Raises HandshakeFailed or FrameError. The caller bounds the time.
    """
    own = encode_greeting(greeting)
    connection.send(Kind.HELLO, body=own)
    theirs = await _async_expect(connection, Kind.HELLO)
    mac = decode_proof(await _async_expect(connection, Kind.PROOF))
    if not hmac.compare_digest(mac, _make_mac(key, _LABEL_SERVER, own, theirs)):
        raise WrongKey("the server does not hold the shared key")
    server = _check_greeting(theirs)
    if expected_name is not None and server.hello.name != expected_name:
        raise HandshakeFailed(f"{server.hello.name} answers instead of {expected_name}")
    connection.raise_frame_limit()
    connection.send(Kind.PROOF, body=encode_proof(_make_mac(key, _LABEL_DIALER, own, theirs)))
    await _async_expect(connection, Kind.WELCOME)
    return server


async def async_accept(*, connection: Connection, greeting: Greeting, key: bytes) -> Accepted:
    """Run the server's part up to the dialer's proof.

    The caller bounds the time and sends WELCOME. Raises HandshakeFailed or FrameError.
    """
    theirs = await _async_expect(connection, Kind.HELLO)
    dialer = _check_greeting(theirs)
    own = encode_greeting(greeting)
    challenged_ms = connection.clock.now_ms()
    connection.send(Kind.HELLO, body=own)
    connection.send(Kind.PROOF, body=encode_proof(_make_mac(key, _LABEL_SERVER, theirs, own)))
    mac = decode_proof(await _async_expect(connection, Kind.PROOF))
    if not hmac.compare_digest(mac, _make_mac(key, _LABEL_DIALER, theirs, own)):
        raise WrongKey("the dialer does not hold the shared key")
    return Accepted(greeting=dialer, challenged_ms=challenged_ms)


def to_seconds(delay_ms: int) -> float:
    """Return milliseconds as the seconds that asyncio takes."""
    return delay_ms / MS_PER_S


async def _async_expect(connection: Connection, kind: Kind) -> bytes:
    frame = await connection.async_read()
    if frame is None:
        raise HandshakeFailed(f"closed before {kind.name}")
    if frame.kind == Kind.GOODBYE:
        raise HandshakeFailed(f"the peer refused: {decode_goodbye(frame.body)}")
    if frame.kind != kind:
        raise FrameError(f"frame kind {frame.kind} instead of {kind.name}")
    return frame.body


def _check_greeting(body: bytes) -> Greeting:
    greeting = decode_greeting(body)
    if greeting.version != PROTOCOL_VERSION:
        raise HandshakeFailed(f"protocol version {greeting.version} is not known")
    if len(greeting.nonce) != NONCE_BYTES or not greeting.hello.name:
        raise FrameError("a greeting without name or nonce")
    if greeting.window_bytes == 0:
        raise FrameError("a greeting without a window")
    return greeting


def _make_mac(key: bytes, label: bytes, dialer: bytes, server: bytes) -> bytes:
    """Return a code over who speaks and all that both ends have said, lengths included."""
    parts = (label, dialer, server)
    text = b"".join(len(part).to_bytes(_LENGTH_BYTES, "little") + part for part in parts)
    return hmac.digest(key, text, _HASH)
