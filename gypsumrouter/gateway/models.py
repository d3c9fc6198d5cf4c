"""Data of one request in the gateway."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from gypsumrouter.configuration.models import CallerClass, Pool, Workspace
from gypsumrouter.const import UpstreamKind
from gypsumrouter.gateway.limits import Limit
from gypsumrouter.link.models import Headers
from gypsumrouter.outcomes import Failure


class ChatBody(Struct, frozen=True, kw_only=True):
    """A validated body of a chat-completions request; `document` is the complete JSON object."""

    document: dict[str, Any]
    model: str
    messages: list[dict[str, Any]]
    stream: bool = False
    max_output_tokens: int = 0
    user: str = ""
    chat: str = ""


class CallerHead(Struct, frozen=True, kw_only=True):
    """The validated headers of a request; `headers` are the ones to forward."""

    caller_class: str | None = None
    deadline_ms: int | None = None
    chat: str = ""
    hint: str = ""
    idempotency_key: str = ""
    headers: Headers = ()


class Target(Struct, frozen=True, kw_only=True):
    """The target of a request: a chat completion, or a call of the service in `pool`."""

    kind: UpstreamKind
    method: str
    path: str
    pool: str = ""
    model: str = ""


class Call(Struct, kw_only=True):
    """One accepted request, to be dispatched to an instance.

    `deadline_at_ms` and `arrived_ms` are monotonic times. A call with an `idempotency_key` must run
    at most once. `digest` identifies the content, and `returning` marks a request that continues an
    earlier chat. `next_pool` is tried after `pool`. `parts` are digests of the messages of a chat
    that other chats may have too.
    """

    request_id: str
    workspace: Workspace
    caller_class: CallerClass
    target: Target
    pool: Pool
    headers: Headers
    body: bytes
    digest: int
    arrived_ms: int
    deadline_at_ms: int
    configuration_version: int
    next_pool: Pool | None = None
    stream: bool = False
    chat: str = ""
    hint: str = ""
    returning: bool = False
    idempotency_key: str = ""
    max_output_tokens: int = 0
    limits: tuple[Limit, ...] = ()
    parts: tuple[int, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Return whether the call may be retried if the outcome of an attempt is unknown."""
        return not self.idempotency_key


class RequestResult(Struct, kw_only=True):
    """How a request ended, for metrics and logs; `failure` is None after a complete answer.

    `first_token_ms` and `answer_ms` are measured from the arrival of the request.
    """

    status: int = 0
    failure: Failure | None = None
    replayed: bool = False
    streamed: bool = False
    first_token_ms: int | None = None
    answer_ms: int = 0
