"""Verdicts on whether a request with a given digest may run."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.outcomes import Refused


class Clear(Struct, frozen=True, kw_only=True):
    """The request may run normally."""


class Suspect(Struct, frozen=True, kw_only=True):
    """The request was running during an upstream crash, and may only run alone."""

    alone: bool = True


Verdict = Clear | Suspect | Refused
