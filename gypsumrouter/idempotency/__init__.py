"""At-most-once execution of calls with an idempotency key.

Each key is owned by one instance of a pool, which runs the call and stores its
response for repeats.
"""

from __future__ import annotations

from gypsumrouter.idempotency.calls import Idempotency
from gypsumrouter.idempotency.keys import Key, parse_key
from gypsumrouter.idempotency.outcomes import Replay, get_call_outcome
from gypsumrouter.idempotency.ownership import find_owner
from gypsumrouter.idempotency.records import Join
from gypsumrouter.idempotency.run import Run

__all__ = [
    "Idempotency",
    "Join",
    "Key",
    "Replay",
    "Run",
    "find_owner",
    "get_call_outcome",
    "parse_key",
]
