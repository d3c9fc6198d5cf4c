"""What may be done with a request, by what is known of its digest."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.outcomes import Refused


class Clear(Struct, frozen=True, kw_only=True):
    """Nothing speaks against the request."""


class Suspect(Struct, frozen=True, kw_only=True):
    """The request was running when an upstream died; it may only run alone."""

    alone: bool = True


Verdict = Clear | Suspect | Refused
