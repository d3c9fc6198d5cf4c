"""Constants of admission."""

from __future__ import annotations

from typing import Final

# The estimate of the pool's mean load.
HALF_LIFE_MS: Final = 30
NOTE_FRESH_MS: Final = 2_000
CAUTION_AFTER_MS: Final = 1_000
CAUTION_HALF_LIFE_MS: Final = 1_000
# Loads vary by about their square root; half of that is kept free, see decision 0006.
DRIFT_MARGIN: Final = 0.6
# A pool whose members all but stand at a whole number may take one request more each.
GROWTH_SLACK: Final = 0.15
HALF: Final = 0.5
# Keeps a limit that is a whole number from being rounded above itself.
ROUNDING: Final = 1e-9
HISTORY_STEP_MS: Final = 20
HISTORY_STEPS: Final = 128

# The order of the queue.
LOOKAHEAD_RELEASES: Final = 3
GUARANTEE_RELEASES: Final = 8
HOPELESS_EVERY: Final = 32
BATCH_EVERY: Final = 256
MIN_RELEASE_INTERVAL_MS: Final = 1.0
MIN_PENALTY: Final = 1e-6
ENDED_RATIO: Final = 2
ENDED_SPARE: Final = 64

# Slots.
BATCH_RESERVE_RATIO: Final = 8
YIELD_RELEASES: Final = 2
YIELD_ANSWERED_MS: Final = 250
BATCH_PRIORITY: Final = 0

# The slots that interactive work is about to need.
DEMAND_MS: Final = 3_000
MIN_PEAK_QUANTILE: Final = 0.5
MAX_PEAK_QUANTILE: Final = 0.999
SPARE_HOLD_MS: Final = 1.0

# Estimates of service times.
SIZE_BYTES: Final = (2_048, 16_384, 131_072)
BYTES_PER_TOKEN: Final = 4
FIRST_TOKEN_START_MS: Final = 50.0
HOLD_START_MS: Final = 1_000.0
HOLD_STEP: Final = 0.05
FIRST_TOKEN_STEP_UP: Final = 0.05
FIRST_TOKEN_STEP_DOWN: Final = 0.2

# Refusals.
WATCH_MS: Final = 20
MIN_RETRY_AFTER_MS: Final = 50
MAX_RETRY_AFTER_MS: Final = 5_000
POOL_FULL_SHARE: Final = 0.9

DUMPED_WORKSPACES: Final = 20
