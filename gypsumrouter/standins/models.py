"""Settings of the stand-in engine."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from gypsumrouter.instances import Address

MIN_STEP_MS: Final = 4.0
DEFAULT_MODEL: Final = "gypsum-chat"
DEFAULT_VERSION: Final = "1"


class EngineSettings(Struct, frozen=True, kw_only=True):
    """Capacity, speed and behaviour of one engine; times in milliseconds, sizes in tokens.

    A step takes `step_ms`, plus `step_ms_per_sequence` for each running sequence and
    `prefill_ms_per_token` for each prompt token that it prefills, at most `prefill_chunk_tokens`
    of them. `load_ms` is the duration of a model load without a weight store. `cache_event_loss`
    is the share of cache events that are dropped.
    """

    slots: int = 16
    waiting_max: int = 1_024
    step_ms: float = MIN_STEP_MS
    step_ms_per_sequence: float = 0.05
    prefill_ms_per_token: float = 0.02
    prefill_chunk_tokens: int = 512
    cache_tokens: int = 200_000
    transfer_ms_per_token: float = 0.002
    default_tokens: int = 32
    max_tokens: int = 8_192
    load_lag_ms: int = 500
    cache_event_lag_ms: int = 500
    cache_event_loss: float = 0.05
    stream_keep_ms: int = 5_000
    streams_kept: int = 1_024
    abandon_ms: int = 5_000
    models: tuple[str, ...] = (DEFAULT_MODEL,)
    role: str = "both"
    checks_fence: bool = True
    fence_survives_restart: bool = True
    gives_weights: bool = True
    weight_store: Address | None = None
    load_ms: int = 2_000
    crash_marker: str = ""
    restart_ms: int = 1_000
    seed: int = 0

    def __post_init__(self) -> None:
        if self.step_ms < MIN_STEP_MS:
            raise ValueError(f"step_ms must be at least {MIN_STEP_MS}, got {self.step_ms}")
