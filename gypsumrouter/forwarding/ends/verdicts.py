"""What is known of the end of an answer that has neither a length nor chunks."""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class EndVerdict(StrEnum):
    """What shows that an unframed answer is complete or broken off; the values are in the journal.

    ALIVE: the upstream has answered a question that was asked after the end, and states the start
    that its entry states, or its id if that states none. UNLISTED: the upstream states another
    start than its entry does, and that one has given the answer. REFUSED: nothing listens there.
    RESTARTED: another start or upstream has its address. SILENT: it accepted a connection, and
    answered nothing. DROPPED: it closed each connection. UNNAMED: what answers does not say who it
    is. UNREACHABLE: no connection. DOUBTED: not known yet, and another run may go on meanwhile.
    RESET: the connection was reset behind its end, and no death of the upstream is known.
    GOES_ON: nothing listens, and other answers of the process have gone on behind the end. LEFT:
    nothing listens, as the upstream leaves, and it has written the answer to its end since then.
    """

    ALIVE = "alive"
    UNLISTED = "unlisted"
    REFUSED = "refused"
    RESTARTED = "restarted"
    SILENT = "silent"
    DROPPED = "dropped"
    UNNAMED = "unnamed"
    UNREACHABLE = "unreachable"
    DOUBTED = "doubted"
    RESET = "reset"
    GOES_ON = "goes on"
    LEFT = "left"

    @property
    def complete(self) -> bool:
        """Return whether the answer counts as complete."""
        return self in _COMPLETE

    @property
    def outlived(self) -> bool | None:
        """Return whether the upstream lived after the answer's end, None if that isn't known.

        What accepts connections and closes them may be a listener whose process is gone, and an
        upstream that does not answer may serve others. One that has left may end with its answer.
        """
        if self.complete:
            return None if self is EndVerdict.LEFT else True
        return False if self.shows_death else None

    @property
    def shows_death(self) -> bool:
        """Return whether the process is known to have ended."""
        return self in (EndVerdict.REFUSED, EndVerdict.RESTARTED)

    @property
    def is_final(self) -> bool:
        """Return whether the same question would be answered in the same way later."""
        return self.complete or self.shows_death


_COMPLETE: Final = (
    EndVerdict.ALIVE,
    EndVerdict.UNLISTED,
    EndVerdict.GOES_ON,
    EndVerdict.LEFT,
)
