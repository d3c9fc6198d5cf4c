"""Constants shared by all packages."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

VERSION: Final = "0.1.0"

ENV_IO_URING: Final = "UV_USE_IO_URING"
IO_URING_OFF: Final = "0"

MS_PER_S: Final = 1000

HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_PLACEMENT: Final = "X-Gypsum-Placement"
HEADER_CHAT: Final = "X-Gypsum-Chat"
HEADER_CLASS: Final = "X-Gypsum-Class"
HEADER_DEADLINE: Final = "X-Gypsum-Deadline-Ms"
HEADER_EXECUTED: Final = "X-Gypsum-Executed"
HEADER_REPLAYED: Final = "X-Gypsum-Replayed"

PATH_CHAT: Final = "/v1/chat/completions"
PATH_MODELS: Final = "/v1/models"
PATH_SERVICES: Final = "/services/"

MAX_REQUEST_BODY_BYTES: Final = 4 * 1024 * 1024
MAX_HEAD_BYTES: Final = 16 * 1024

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_SETTINGS: Final = 2


def make_engine_chat_id(workspace: str, chat: str) -> str:
    """Return the chat id that engines receive; it is unique across workspaces."""
    return f"{workspace}/{chat}"


class Role(StrEnum):
    """Role of a process.

    A router accepts requests from callers and sends them to sides. A side is the sidecar of one
    upstream. A forwarder is a router that sends requests directly to upstreams.
    """

    ROUTER = "router"
    SIDE = "side"
    FORWARDER = "forwarder"


class UpstreamKind(StrEnum):
    """Kind of an upstream."""

    ENGINE = "engine"
    SERVICE = "service"


class InstanceState(StrEnum):
    """State of an instance in the platform's instance list."""

    LIVE = "live"
    LEAVING = "leaving"
