"""State of one request while it is forwarded."""

from __future__ import annotations

from msgspec import Struct, field

from gypsumrouter.forwarding.models import CompleteResponse


class Progress(Struct, kw_only=True):
    """Mutable state that the attempts of a request share.

    `unreachable` and `rejections` count attempts in which the request did not run.
    `possibly_ran_on` lists the upstreams that may have run it, `excluded_upstreams` those that must
    not be tried again. `in_flight` is true while an attempt waits for a response.
    `fallback_response` is a server error that is returned if no other attempt succeeds.
    `first_byte_ms` is -1 until the first byte was sent to the caller. `events` counts the relayed
    events of a stream.
    """

    arrived_ms: int
    deadline_at_ms: int
    attempts: int = 0
    unreachable: int = 0
    rejections: int = 0
    possibly_ran_on: list[str] = field(default_factory=list)
    excluded_upstreams: set[str] = field(default_factory=set)
    upstream: str = ""
    first_byte_ms: int = -1
    bytes_out: int = 0
    events: int = 0
    outcome: str = ""
    in_flight: bool = False
    fallback_response: CompleteResponse | None = None
