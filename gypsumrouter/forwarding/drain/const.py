"""Limits and margins of the admission in a drain."""

from __future__ import annotations

from typing import Final

# What is under way this long before the process is killed is cut.
CUT_MARGIN_MS: Final = 500
# Only what was sent no later than this after the signal of a stop may be cut at its end.
EXCUSED_MS: Final = 3_000
# What a stop may cut runs into this last part of its time.
LAST_PART: Final = 6
# The slowest pace and the latest first event that are expected of an engine.
SLOWEST_MS_PER_TOKEN: Final = 50.0
LATEST_FIRST_MS: Final = 4_000
# Expected time of a plain request whose service has not answered lately.
PLAIN_MS: Final = 400
# Answers that are older than this say nothing about the present pace.
RECENT_MS: Final = 30_000
REMEMBERED_ANSWERS: Final = 32
# With fewer recent answers of a service the slowest pace is assumed.
MIN_ANSWERS: Final = 5
# From so many upstreams on, the slowest of them tells of another one of their service.
MANY_UPSTREAMS: Final = 5
# Share of an upstream's answers that are no slower than its pace is taken to be.
QUANTILE: Final = 0.95
# The same where the estimate is multiplied by how far estimates have been off.
MEDIAN: Final = 0.5
# Time that the last bytes of an answer take, and by which an estimate may be short.
MARGIN_MS: Final = 100
# How long a sound upstream may stand still, once, while it runs a request.
SILENCE_MS: Final = 1_500
# From here on, and from these multiples of what is usual on, a wait for an upstream is a silence. A
# shorter one counts as a slowdown.
MIN_SILENCE_MS: Final = 300
FIRST_SILENCE_FACTOR: Final = 2.5
PAUSE_SILENCE_FACTOR: Final = 3.0
# By how much an upstream of which little is known may slow down.
SLOWDOWN: Final = 1.5
# With fewer answers that were compared with their estimates these tell nothing.
MIN_COMPARED: Final = 30
# Estimates are kept for a later comparison this often.
KEEP_ESTIMATES_MS: Final = 1_000
# Events of a stream from which on its pace so far counts.
MIN_EVENTS: Final = 10
