"""Limits and shares of the admission queue under contention."""

from __future__ import annotations

from typing import Final

# Share of the time left to the target that the expected time may use at most: the remainder allows
# for the variance of the estimates. For plain services it equals `service_time.MAX_TIME_SHARE`, the
# limit of their own admission. The forwarder queues requests to engines only.
ENGINE_TARGET_SHARE: Final = 0.8
PLAIN_TARGET_SHARE: Final = 0.6
# Share of the time left to the deadline that the expected time may use at most. The remainder is
# for the rest of the response, whose length is unknown.
DEADLINE_SHARE: Final = 0.8
# Longest wait in the router, as a share of the target. A longer wait gains nothing: the remainder
# is needed for the service itself.
HOLD_SHARE: Final = 0.5
# Interval of the release checks while requests wait, in milliseconds.
TICK_MS: Final = 10
# Bounds on the requests whose expected time is estimated in one release check: in total, and among
# the first ones of each class in the order. Each estimate costs a placement.
MAX_ESTIMATES: Final = 4
MAX_ESTIMATES_PER_CLASS: Final = 2
# A request that is expected in time is released at the latest this long, in milliseconds, after the
# last release, also beyond the router's share: peers' figures may be old. It is half the time that
# capacity may be idle while requests wait.
IDLE_LIMIT_MS: Final = 250
# Demand is compared over this time, in milliseconds. It covers the delay of reports between
# routers: an update every 100 ms plus 12 ms per peer, and 250 ms for sums of other data centres.
DEMAND_WINDOW_MS: Final = 500
# Requests added to the demand of each router when it is compared, so that a router with little
# demand gets more than one request at a time. In total at most `MAX_ADDED_DEMAND` are added, and
# `ADDED_DEMAND_PER_SLOT` times the slots of the upstreams; otherwise, in a large fleet or for a
# small service, they would outweigh the real demand.
ADDED_DEMAND: Final = 1.5
ADDED_DEMAND_PER_SLOT: Final = 0.4
MAX_ADDED_DEMAND: Final = 100.0
# A router with more than this many times the demand of all others together may use all capacity
# that they leave. It happens when load balancers send most new connections to one router.
DOMINANT_FACTOR: Final = 3.0
# A service counts as contended for this long, in milliseconds, after a request had to wait or was
# refused. It covers the gaps between requests of a class with few of them.
CONTENTION_MS: Final = 1_000
# Largest allowance for requests that peers have sent since their last report, as a share of the
# budget. With a larger one an upstream could become idle while requests wait.
MAX_UNREPORTED_SHARE: Final = 0.5
# Shortest interval between two samples of the demand, in milliseconds; it bounds their cost.
SAMPLE_INTERVAL_MS: Final = 50
# Smaller excesses of a workspace do not count in the order: requests that arrive at random make the
# work of small workspaces differ by as much.
MIN_EXCESS: Final = 0.5
# Guaranteed releases of a waiting class, as a share of an equal part.
MIN_CLASS_SHARE: Final = 0.25
# Expected time between two releases before the first measurement, in milliseconds: one per check.
INITIAL_RELEASE_INTERVAL_MS: Final = 10.0
# How long the ranks of waiting requests are used, in milliseconds. Ranking 512 requests takes about
# 0.5 ms of processor time; usage of the workspaces changes over seconds.
RANK_TTL_MS: Final = 50
# Weight of a new interval in the moving average of the time between two releases.
RELEASE_EWMA_WEIGHT: Final = 0.2
# Upper bounds in milliseconds of the histogram of waits; the longest waits are half of a target.
WAIT_BUCKETS: Final[list[float]] = [5, 10, 25, 50, 100, 200, 400, 800, 1_600]
