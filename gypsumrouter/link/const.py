"""Constants of the link protocol: frame kinds and flags, size limits, intervals and factors."""

from __future__ import annotations

from enum import IntEnum
from typing import Final

from gypsumrouter.const import MAX_REQUEST_BODY_BYTES

PROTOCOL_VERSION: Final = 1
NONCE_BYTES: Final = 32

MAX_FRAME_BYTES: Final = MAX_REQUEST_BODY_BYTES + 256 * 1024
MAX_HANDSHAKE_FRAME_BYTES: Final = 4 * 1024
MAX_HANDSHAKE_FRAMES: Final = 4
MAX_HANDSHAKES: Final = 1_024

FLUSH_BYTES: Final = 256 * 1024
HIGH_WATER_BYTES: Final = 512 * 1024
LOW_WATER_BYTES: Final = 128 * 1024

TICKS_PER_HEARTBEAT: Final = 4
TICKS_PER_IDLE_CHECK: Final = 8
# The dialer sends heartbeats, and the server detects a silent dialer, at this multiple of the
# configured intervals: a heartbeat of the dialer only keeps the server from dropping exchanges.
DIALER_INTERVAL_FACTOR: Final = 4
IDLE_FACTOR: Final = 2
CONFIRMS_PER_WINDOW: Final = 4
CONFIRM_REQUEST_INTERVAL_MS: Final = 50

STATUS_INTERVAL_MS: Final = 100
STATUS_BYTES_S: Final = 2_048
# Budget for a full mesh, in which each of n processes sends its status to n others.
STATUS_MESH_BYTES_S: Final = 120_000
STATUS_RETENTION_MS: Final = 600_000

BACKOFF_FIRST_MS: Final = 20
BACKOFF_MAX_MS: Final = 500

ROUTER_RETENTION_MS: Final = 600_000
MAX_ROUTERS: Final = 4_096
AGE_MARGIN_MS: Final = 1_000
MAX_LOGGED_PEERS: Final = 1_024

FLAG_NONE: Final = 0
FLAG_FINAL: Final = 1
FLAG_CONFIRM_REQUEST: Final = 1
FLAG_ECHO_REQUEST: Final = 2
FLAG_ECHO_REPLY: Final = 4
MAX_REPORTED_LOAD: Final = 0xFFFF


class Kind(IntEnum):
    """The kind of a frame; a number that was ever used is never reassigned."""

    HELLO = 1
    PROOF = 2
    WELCOME = 3
    GOODBYE = 4
    HEARTBEAT = 5
    OPEN = 10
    HEAD = 11
    DATA = 12
    END = 13
    REFUSED = 14
    FAILED = 15
    CONFIRM = 16
    CANCEL = 17
    RESUME = 18
    STATUS = 30
    CONFIGURATION_NEWS = 31
    PARTS_REQUEST = 32
    PARTS = 33
    SUSPECT_NEWS = 34
    HOLDINGS = 35
    PREFIX_NEWS = 36
    ROUTER_NEWS = 37
    CATCH_UP = 38
    ROUTING_DOCUMENT = 39
    LISTED_UPSTREAMS = 40
    HELD_WANTED = 41
    HELD_NEWS = 42
    STORE_WATCHED = 43
    DATA_CENTRE_NEWS = 44
    RELAYED_NEWS = 45
    BEGUN_STREAMS = 46
    ORIGIN_REQUEST = 47
    ORIGIN_REPLY = 48
    SUSPECT_EVIDENCE = 49
    SUSPECT_VERDICTS = 50


PAYLOAD_KINDS: Final = frozenset({Kind.OPEN, Kind.HEAD, Kind.DATA, Kind.END})
LOAD_KINDS: Final = frozenset(map(int, (Kind.HEAD, Kind.END, Kind.REFUSED, Kind.FAILED)))
KIND_VALUES: Final = frozenset(int(kind) for kind in Kind)
KIND_SLOTS: Final = max(Kind) + 1
