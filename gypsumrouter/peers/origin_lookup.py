"""The replies of routers to one question for the origin of a stream, and their form on links."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from gypsumrouter.link import OriginKnowledge, OriginReply
from gypsumrouter.streams import (
    Known,
    OneVersion,
    OriginView,
    Replies,
    SeveralVersions,
    Unproven,
    Voice,
)
from gypsumrouter.util.clock import Clock


class OriginLookup:
    """The replies to one question; `done` is set once no further one matters.

    `asked` are the names of the routers that are asked, or their addresses.
    """

    __slots__ = ("_clock", "_expected", "_started_ms", "_unanswered", "_voices", "done")

    def __init__(self, *, clock: Clock, asked: Iterable[str]) -> None:
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._unanswered = list(asked)
        self._expected = len(self._unanswered)
        self._voices: list[Voice] = []
        self.done = asyncio.Event()

    @property
    def replies(self) -> Replies:
        """Return what was said so far, and who has said nothing."""
        return Replies(voices=tuple(self._voices), unanswered=tuple(self._unanswered))

    def add(self, router: str, reply: OriginReply) -> None:
        """Add the reply of a router."""
        view = decode_view(reply)
        self._voices.append(
            Voice(
                router=router,
                view=view,
                list_age_ms=reply.list_age_ms,
                list_as_of=reply.list_as_of,
                after_ms=self._clock.now_ms() - self._started_ms,
            )
        )
        if router in self._unanswered:
            self._unanswered.remove(router)
        self._note_one_less()
        if isinstance(view, Known):
            self.done.set()

    def note_unreachable(self) -> None:
        """Record that one of the routers could not be asked."""
        self._note_one_less()

    def _note_one_less(self) -> None:
        self._expected -= 1
        if self._expected <= 0:
            self.done.set()


def encode_view(stream: int, view: OriginView, *, list_age_ms: int, list_as_of: int) -> OriginReply:
    """Return the reply that tells a view, with age and revision of the list behind it."""
    origin = 0
    match view:
        case Known(origin=origin):
            knowledge = OriginKnowledge.KNOWN
        case OneVersion(origin=origin):
            knowledge = OriginKnowledge.ONE_VERSION
        case SeveralVersions():
            knowledge = OriginKnowledge.SEVERAL_VERSIONS
        case Unproven():
            knowledge = OriginKnowledge.UNPROVEN
    return OriginReply(
        stream=stream,
        knowledge=knowledge,
        origin=origin,
        list_age_ms=list_age_ms,
        list_as_of=list_as_of,
    )


def decode_view(reply: OriginReply) -> OriginView:
    """Return the view that a reply tells."""
    match reply.knowledge:
        case OriginKnowledge.KNOWN:
            return Known(origin=reply.origin)
        case OriginKnowledge.ONE_VERSION:
            return OneVersion(origin=reply.origin)
        case OriginKnowledge.SEVERAL_VERSIONS:
            return SeveralVersions()
        case OriginKnowledge.UNPROVEN:
            return Unproven()
