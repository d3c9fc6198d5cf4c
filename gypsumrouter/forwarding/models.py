"""What passes through a forwarder, as values: requests, prompts, answers, ends of attempts."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from gypsumrouter.helpers.http_connection import HttpResponse
from gypsumrouter.instances import Address

Headers = tuple[tuple[str, str], ...]


class PromptPart(Struct, frozen=True, kw_only=True):
    """One part of a prompt, by the id under which engines cache it."""

    part: int
    tokens: int


class Prompt(Struct, frozen=True, kw_only=True):
    """The prompt of a request to a model engine, in tokens.

    All `parts` but the last are shared with other requests; the last belongs to the request or to
    its chat.
    """

    model: str
    parts: tuple[PromptPart, ...]
    input_tokens: int
    max_output_tokens: int

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may have in common with this one."""
        return self.parts[:-1]


class CallerRequest(Struct, frozen=True, kw_only=True):
    """A caller's request, read whole.

    `path` is as it came, with its query. `headers` are those that go on to the upstream unchanged.
    `deadline_ms` is the caller's patience, `last_event` where it wants a stream to go on.
    """

    request_id: str
    method: str
    host: str
    path: str
    key: str | None
    deadline_ms: int | None
    prompt: Prompt | None
    last_event: str | None
    headers: Headers
    body: bytes

    @property
    def bare_path(self) -> str:
        """Return the path without its query."""
        return self.path.partition("?")[0]


class Sending(Struct, frozen=True, kw_only=True):
    """What a forwarder adds for one attempt.

    Only the upstream with this id may run it, for at most `deadline_ms`. `fetch_from` is another
    upstream from whose cache it first copies what it lacks of the prompt.
    """

    upstream: str
    workspace: str
    deadline_ms: int
    priority: int | None
    last_event: str | None
    fetch_from: Address | None = None


class AnswerFacts(Struct, frozen=True, kw_only=True):
    """What the head of an answer says apart from its status.

    `request_id` is whom it belongs to, `signed` that an upstream vouches for it, `not_run` that it
    did not and will not run the request, `leaving` that it leaves. `encoded` bodies are not the
    upstream's own. For `rest_ms` the upstream wants nothing from whom it turned away; None where it
    names no time.
    """

    request_id: str | None
    signed: bool
    not_run: bool
    encoded: bool
    events: bool
    keep_ms: int | None
    leaving: bool = False
    rest_ms: int | None = None


class Dialect(Protocol):
    """How callers and upstreams of a deployment spell requests and answers."""

    def write_request(self, *, request: CallerRequest, sending: Sending) -> bytes:
        """Return the bytes of a request for an upstream."""

    def read_answer(self, answer: HttpResponse) -> AnswerFacts:
        """Return what an answer's head says."""

    def select_headers(self, answer: HttpResponse) -> list[tuple[str, str]]:
        """Return the headers of an answer that go on to the caller."""

    def format_retry_after(self, retry_after_ms: int) -> str:
        """Return the value of the header that tells a caller when to come back."""


class NotReached(Struct, frozen=True, kw_only=True):
    """No byte was sent: the upstream may be tried again, and so may any other.

    `refused` says that its machine answered that nobody listens there.
    """

    reason: str
    refused: bool = False


class TurnedAway(Struct, frozen=True, kw_only=True):
    """The upstream answered that it did not run the request and never will."""

    status: int
    stranger: bool


class Whole(Struct, frozen=True, kw_only=True):
    """A whole answer, held back until now."""

    answer: HttpResponse
    status: int
    signed: bool
    body: bytes


class Begun(Struct, frozen=True, kw_only=True):
    """The head of an answer whose body is read as it comes, and what was read of it already.

    `events` says that the body is a series of events.
    """

    answer: HttpResponse
    status: int
    events: bool
    first: bytes = b""


class Lost(Struct, frozen=True, kw_only=True):
    """The request was sent and brought no answer; it may have run.

    `broken` says that the connection broke off, as it does when an upstream dies.
    """

    reason: str
    broken: bool = False


Outcome = NotReached | TurnedAway | Whole | Begun | Lost
