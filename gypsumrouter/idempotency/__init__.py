"""Calls that must not be repeated: their keys, their homes and the memory of their answers."""

from __future__ import annotations

from gypsumrouter.idempotency.calls import Idempotency
from gypsumrouter.idempotency.homes import find_home
from gypsumrouter.idempotency.keys import Key, parse_key
from gypsumrouter.idempotency.memory import Join
from gypsumrouter.idempotency.outcomes import Replay, get_call_outcome
from gypsumrouter.idempotency.run import Run

__all__ = [
    "Idempotency",
    "Join",
    "Key",
    "Replay",
    "Run",
    "find_home",
    "get_call_outcome",
    "parse_key",
]
