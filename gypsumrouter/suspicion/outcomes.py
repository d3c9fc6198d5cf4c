"""What may be done with a request, by what is known of its digest."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumrouter.outcomes import Refused


@dataclass(slots=True, kw_only=True, frozen=True)
class Clear:
    """Nothing speaks against the request."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Suspect:
    """The request was running when an upstream died; it may only run alone."""

    alone: bool = True


Verdict = Clear | Suspect | Refused
