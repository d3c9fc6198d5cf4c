"""Requests, prompts, response metadata and outcomes of attempts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Final, Protocol, TypeVar

import xxhash
from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.crashes import Subjects, Verdict, make_workspace_id, select_parts
from gypsumrouter.helpers.http_headers import is_writable
from gypsumrouter.helpers.http_response import HttpResponse
from gypsumrouter.helpers.numbers import read_numbers
from gypsumrouter.instances import Address

# More tokens than any engine's memory holds. A larger count is a false statement, and one of some
# hundred digits does not even fit into a float.
MAX_PROMPT_TOKENS: Final = 10**9
# Longer deadlines are read as this, which is above the timeout of any route.
MAX_DEADLINE_MS: Final = 24 * 3600 * MS_PER_S
# Larger figures of a reported load are taken for errors.
MAX_LOAD_FIGURE: Final = 999_999
# Of an odd header, for the log.
MAX_ODD_CHARACTERS: Final = 60
# Stands for the names of headers that are only passed on.
ODD_OTHER: Final = "other"

_T = TypeVar("_T")

Headers = tuple[tuple[str, str], ...]


class PromptPart(Struct, frozen=True, kw_only=True):
    """One segment of a prompt; `part` is the id under which engines cache it."""

    part: int
    tokens: int


class Prompt(Struct, frozen=True, kw_only=True):
    """The prompt of a request to a model engine, in tokens.

    All `parts` but the last may be common to several requests; the last is specific to the request
    or its chat.
    """

    model: str
    parts: tuple[PromptPart, ...]
    input_tokens: int
    max_output_tokens: int

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]

    @property
    def own_tokens(self) -> int:
        """Return the tokens of the part that other requests do not share."""
        return sum(part.tokens for part in self.parts[-1:])


class MalformedHead(Struct, frozen=True, kw_only=True):
    """The head of a caller's request is not valid: in which field, and what a valid one has."""

    field: str
    message: str


class CallerRequest(Struct, frozen=True, kw_only=True):
    """A caller's request, including its complete body.

    `path` is the raw path with its query. `headers` are passed to the upstream unchanged.
    `deadline_ms` is the time within which the caller expects the response, counted from the arrival
    of the request. `last_event_id` is the event after which a stream is to be resumed; `resumes` is
    the id of the request that brought the first event of that stream.
    """

    request_id: str
    method: str
    host: str
    path: str
    api_key: str | None
    deadline_ms: int | None
    prompt: Prompt | None
    last_event_id: str | None
    headers: Headers
    body: bytes
    resumes: str | None = None

    @property
    def path_without_query(self) -> str:
        """Return the path without its query."""
        return self.path.partition("?")[0]


class AttemptOptions(Struct, frozen=True, kw_only=True):
    """What the router adds to a request for one attempt.

    Only the upstream with the id `upstream` may run it, for at most `deadline_ms`. `fetch_from` is
    the address of another upstream from whose cache it copies missing parts of the prompt.
    """

    upstream: str
    workspace: str
    deadline_ms: int
    priority: int | None
    last_event_id: str | None
    fetch_from: Address | None = None


class LoadReport(Struct, frozen=True, kw_only=True):
    """The load of an upstream as it reports it: requests of all routers, and its slots.

    `pace` is how long work takes there at the moment, as a multiple of the usual time; None if the
    upstream does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None

    @property
    def held(self) -> int:
        """Return the requests that run or wait at the upstream."""
        return self.running + self.waiting


def make_load_report(
    running: int, waiting: int, slots: int, pace_percent: int | None = None
) -> LoadReport | None:
    """Return the report of these figures, None if they can't describe an upstream."""
    if slots == 0 or pace_percent == 0:
        return None
    pace = None if pace_percent is None else pace_percent / 100
    return LoadReport(running=running, waiting=waiting, slots=slots, pace=pace)


def read_load_report(value: str | None) -> LoadReport | None:
    """Return the load that a header reports; None if it is missing or malformed.

    It has three counts, and some have the pace in percent.
    """
    figures = read_numbers(value, largest=MAX_LOAD_FIGURE)
    return make_load_report(*figures) if figures and len(figures) in (3, 4) else None


class OddHeader(Struct, frozen=True, kw_only=True):
    """A header whose value can't be read; `value` is the beginning of it."""

    name: str
    value: str


class HeaderReader:
    """Reads headers of one response, and collects those whose values can't be read or written."""

    __slots__ = ("_odd",)

    def __init__(self, headers: Mapping[str, str]) -> None:
        self._odd: list[OddHeader] = [
            OddHeader(name=ODD_OTHER, value=f"{name}: {value}"[:MAX_ODD_CHARACTERS])
            for name, value in headers.items()
            if not is_writable(value)
        ]

    @property
    def odd(self) -> tuple[OddHeader, ...]:
        """Return the headers that could not be read."""
        return tuple(self._odd)

    def read(self, name: str, text: str | None, decode: Callable[[str], _T | None]) -> _T | None:
        """Return what the value of a header states, None if it is missing or can't be read."""
        value = None if text is None else decode(text)
        if text is not None and value is None:
            self._odd.append(OddHeader(name=name, value=text[:MAX_ODD_CHARACTERS]))
        return value


class ResponseMetadata(Struct, frozen=True, kw_only=True):
    """Metadata from the headers of an upstream's response.

    `request_id` is the id of the request that the response belongs to. `signed` is true if the
    response carries the upstream's stamp, so that it was not generated by an intermediary.
    `not_run` is true if the upstream guarantees that the request did not and will not run.
    `content_encoded` is true if the body has a content encoding, which upstreams don't use.
    `keep_alive_ms` is how long the upstream keeps an idle connection open, `retry_after_ms` how
    long it asks not to be sent new requests; both are None if not given. `draining` is true if the
    upstream is shutting down. `reports_load` is true if the response states a load, valid or not;
    `load` is None if it states no valid one. `odd_headers` are those whose values can't
    be read; each counts as absent. `instance` is the id of the upstream, None if not given.
    """

    request_id: str | None
    signed: bool
    not_run: bool
    content_encoded: bool
    is_event_stream: bool
    keep_alive_ms: int | None
    draining: bool = False
    retry_after_ms: int | None = None
    reports_load: bool = False
    load: LoadReport | None = None
    odd_headers: tuple[OddHeader, ...] = ()
    instance: str | None = None


class Dialect(Protocol):
    """HTTP representation of requests and responses in a deployment."""

    def write_request(self, *, request: CallerRequest, options: AttemptOptions) -> bytes:
        """Return the serialized request for an upstream."""

    def make_health_check(self, upstream: str, *, deadline_ms: int) -> dict[str, str]:
        """Return the headers of a health check that only the upstream with this id answers."""

    def read_response_head(self, answer: HttpResponse) -> ResponseMetadata:
        """Return the metadata from a response's headers."""

    def select_headers(self, answer: HttpResponse) -> list[tuple[str, str]]:
        """Return the headers of a response that are passed to the caller."""

    def format_retry_after(self, retry_after_ms: int) -> str:
        """Return the value of the Retry-After header."""


class Unreachable(Struct, frozen=True, kw_only=True):
    """No connection could be used, and nothing was sent: the request can be sent elsewhere.

    `refused` is true if the upstream's host refused the connection, `silent` if the upstream did
    not answer a question on it.
    """

    reason: str
    refused: bool = False
    silent: bool = False


class Rejected(Struct, frozen=True, kw_only=True):
    """The upstream rejected the request and guarantees that it will not run it.

    `wrong_upstream` is true if another upstream is listening at the address.
    """

    status: int
    wrong_upstream: bool


class CompleteResponse(Struct, frozen=True, kw_only=True):
    """A response whose body was read completely."""

    answer: HttpResponse
    status: int
    signed: bool
    body: bytes


async def async_find_nothing() -> str | None:
    """Return that nothing shows that a body which has ended is incomplete."""
    return None


def accept_end() -> None:
    """Accept the time at which a body has ended."""


class StreamingResponse(Struct, frozen=True, kw_only=True):
    """A response whose body is still being received.

    `initial_bytes` is the part of the body that has been read. `is_event_stream` is true if the
    body consists of server-sent events. `find_missing_end` returns why a body that has ended is
    incomplete though its bytes don't show that, None if it is complete. `check_deadline` raises
    EndedAtDeadline if it ended when its upstream had to stop.
    """

    answer: HttpResponse
    status: int
    is_event_stream: bool
    initial_bytes: bytes = b""
    find_missing_end: Callable[[], Awaitable[str | None]] = async_find_nothing
    check_deadline: Callable[[], None] = accept_end


class ResponseLost(Struct, frozen=True, kw_only=True):
    """The request was sent, but no valid response was received; it may have run.

    `connection_broken` is true if the connection was lost, as when an upstream crashes, and
    `at_deadline` if the response ended when its upstream had to stop.
    """

    reason: str
    connection_broken: bool = False
    at_deadline: bool = False


class Withheld(Struct, frozen=True, kw_only=True):
    """Nothing was sent: in the meantime the request was found to crash upstreams."""

    verdict: Verdict


SentOutcome = Unreachable | Rejected | CompleteResponse | StreamingResponse | ResponseLost
Outcome = Withheld | SentOutcome


def make_subjects(request: CallerRequest, *, workspace: str) -> Subjects:
    """Return what a request can be suspected for."""
    parts = () if request.prompt is None else request.prompt.shared
    return Subjects(
        parts=select_parts(part.part for part in parts),
        digest=make_digest(request),
        workspace=make_workspace_id(workspace),
    )


def make_digest(request: CallerRequest) -> int:
    """Return a hash of a request's method, path, key and body."""
    hashed = xxhash.xxh3_64()
    for part in (request.method, request.path, request.api_key or ""):
        hashed.update(part.encode("utf-8", "surrogateescape"))
        hashed.update(b"\0")
    hashed.update(request.body)
    return hashed.intdigest()
