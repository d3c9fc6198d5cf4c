"""Constants of admission."""

from __future__ import annotations

from typing import Final

# The estimate of the pool's mean load.
REPORT_HALF_LIFE_MS: Final = 30
REPORT_MAX_AGE_MS: Final = 2_000
DECAY_AFTER_MS: Final = 1_000
DECAY_HALF_LIFE_MS: Final = 1_000
# Loads vary by about their square root; half of that is kept free, see decision 0006.
DRIFT_MARGIN: Final = 0.6
# A pool whose members all but stand at a whole number may acquire one request more each.
GROWTH_SLACK: Final = 0.15
ROUND_HALF_UP: Final = 0.5
# Keeps a limit that is a whole number from being rounded above itself.
ROUNDING_EPSILON: Final = 1e-9
HISTORY_STEP_MS: Final = 20
HISTORY_STEPS: Final = 128

# The order of the queue.
LOOKAHEAD_RELEASES: Final = 3
GUARANTEE_RELEASES: Final = 8
LATE_GRANT_INTERVAL: Final = 32
BATCH_GRANT_INTERVAL: Final = 256
MIN_RELEASE_INTERVAL_MS: Final = 1.0
MIN_PENALTY: Final = 1e-6
COMPACT_RATIO: Final = 2
COMPACT_SPARE: Final = 64

# Slots.
SLOTS_PER_RESERVED_SLOT: Final = 8
YIELD_LOOKAHEAD_RELEASES: Final = 2
YIELD_TIMEOUT_MS: Final = 250
BATCH_PRIORITY: Final = 0

# The slots that interactive work is about to need.
DEMAND_TIME_CONSTANT_MS: Final = 3_000
MIN_PEAK_QUANTILE: Final = 0.5
MAX_PEAK_QUANTILE: Final = 0.999
MIN_HOLD_MS: Final = 1.0

# Estimates of service times.
SIZE_BUCKET_BYTES: Final = (2_048, 16_384, 131_072)
BYTES_PER_TOKEN: Final = 4
INITIAL_FIRST_TOKEN_MS: Final = 50.0
INITIAL_HOLD_MS: Final = 1_000.0
HOLD_SMOOTHING: Final = 0.05
FIRST_TOKEN_SMOOTHING_UP: Final = 0.05
FIRST_TOKEN_SMOOTHING_DOWN: Final = 0.2

# Refusals.
QUEUE_CHECK_INTERVAL_MS: Final = 20
MIN_RETRY_AFTER_MS: Final = 50
MAX_RETRY_AFTER_MS: Final = 5_000
POOL_FULL_RATIO: Final = 0.9

MAX_DUMPED_WORKSPACES: Final = 20
