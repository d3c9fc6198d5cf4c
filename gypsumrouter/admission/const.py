"""Constants of admission control."""

from __future__ import annotations

from typing import Final

# Pool load estimate and load limit.
REPORT_HALF_LIFE_MS: Final = 30
REPORT_MAX_AGE_MS: Final = 2_000
DECAY_AFTER_MS: Final = 1_000
DECAY_HALF_LIFE_MS: Final = 1_000
# Multiple of the limit's square root taken off the limit, for changes of the mean after admission.
# Loads vary by about their square root, see decision 0006.
DRIFT_MARGIN: Final = 0.6
# Added to the mean before rounding down, so that a pool at an almost whole mean can still grow.
GROWTH_SLACK: Final = 0.15
ROUND_HALF_UP: Final = 0.5
# Subtracted before rounding up, so that float error does not raise a whole limit by one.
ROUNDING_EPSILON: Final = 1e-9
HISTORY_STEP_MS: Final = 20
HISTORY_STEPS: Final = 128

# Queue order. Slack is measured in slot releases: LOOKAHEAD_RELEASES scales it in the ATC rule, and
# guaranteed shares have priority below GUARANTEE_RELEASES.
LOOKAHEAD_RELEASES: Final = 3
GUARANTEE_RELEASES: Final = 8
# Number of interactive grants per grant to a waiting late request, and to a waiting batch request.
GRANTS_PER_LATE_GRANT: Final = 32
GRANTS_PER_BATCH_GRANT: Final = 256
MIN_RELEASE_INTERVAL_MS: Final = 1.0
MIN_PENALTY: Final = 1e-6
# The expiry heap is compacted from COMPACT_RATIO * (queue size + COMPACT_SPARE) entries on.
COMPACT_RATIO: Final = 2
COMPACT_SPARE: Final = 64

# Slots.
SLOTS_PER_RESERVED_SLOT: Final = 8
YIELD_LOOKAHEAD_RELEASES: Final = 2
YIELD_TIMEOUT_MS: Final = 250
BATCH_PRIORITY: Final = 0

# Expected interactive demand.
DEMAND_TIME_CONSTANT_MS: Final = 3_000
MIN_PEAK_QUANTILE: Final = 0.5
MAX_PEAK_QUANTILE: Final = 0.999
MIN_HOLD_MS: Final = 1.0

# Service time estimates.
SIZE_BUCKET_BYTES: Final = (2_048, 16_384, 131_072)
BYTES_PER_TOKEN: Final = 4
INITIAL_FIRST_TOKEN_MS: Final = 50.0
INITIAL_HOLD_MS: Final = 1_000.0
HOLD_SMOOTHING: Final = 0.05
FIRST_TOKEN_SMOOTHING_UP: Final = 0.05
FIRST_TOKEN_SMOOTHING_DOWN: Final = 0.2

# Refusals of waiting requests and retry hints.
QUEUE_CHECK_INTERVAL_MS: Final = 20
MIN_RETRY_AFTER_MS: Final = 50
MAX_RETRY_AFTER_MS: Final = 5_000
POOL_FULL_RATIO: Final = 0.9

MAX_DUMPED_WORKSPACES: Final = 20
