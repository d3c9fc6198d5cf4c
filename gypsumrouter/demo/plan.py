"""The workload of the demo and the settings that it overrides in all processes."""

from __future__ import annotations

from typing import Any, Final

from bench.load import ChatShape

ROUTERS: Final = 2
FIRST_SEED: Final = 20260119
SEEDS_PER_DEPLOYMENT: Final = 1_000

CHATS: Final = 32
CHAT_SHAPE: Final = ChatShape(turns=6, first_bytes=2_000, turn_bytes=200, think_ms=400)
SERVICE_CALLERS: Final = 6
CALLS_PER_CALLER: Final = 12
CALL_PAUSE_MS: Final = 300
ARRIVAL_WINDOW_MS: Final = 3_000

SAMPLE_MS: Final = 20
PROGRESS_MS: Final = 1_000
MAX_DURATION_MS: Final = 24_000

# All processes share one clock, and a short lease lets new sides accept keyed calls early.
LIST_LEASE_MS: Final = 1_500
EXTRA_SETTINGS: Final[dict[str, Any]] = {
    "platform": {"list_lease_ms": LIST_LEASE_MS, "clock_skew_ms": 0, "list_poll_ms": 200},
}
# Until the lease has passed, a previous owner of a key may have executed a call with it.
FIRST_CALL_MS: Final = LIST_LEASE_MS + 500
