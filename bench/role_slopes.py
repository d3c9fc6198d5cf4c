"""Marginal cost of each resource for a role, derived from the stages of a measurement."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

from msgspec import Struct

from bench.config_fleet import ChangeCost
from bench.costs import RequestCost
from bench.full_size import LIST_CHANGES
from bench.ledger import KIND_STATUS, AverageUsage
from bench.paced_engine import HOLD_GAP_MS
from bench.slope_math import get_mean_rate
from bench.stages import (
    STAGE_BASE,
    STAGE_CONFIGURATION,
    STAGE_HOLD,
    STAGE_LINKS,
    STAGE_LIST,
    STAGE_LIST_CHANGES,
    STAGE_LOAD,
    STAGE_STATUSES,
    FullSize,
)
from bench.target_scale import CHANGES_PER_DAY, LIST_CHANGES_PER_DAY, PROCESSES, WORKSPACES
from gypsumrouter.const import MS_PER_S

MB: Final = 1_000_000
KB: Final = 1_000
US_PER_S: Final = 1_000_000


class RoleSlopes(Struct, frozen=True, kw_only=True):
    """Marginal costs of a role.

    Memory is in bytes, processor time in microseconds, and a core share is a fraction of a core.
    """

    base_rss: float
    rss_per_list_entry: float
    rss_per_1000_workspaces: float
    rss_per_link: float
    rss_per_stream: float
    list_read_us_per_entry: float
    change_us: float
    idle_core_share: float
    links_core_share: float
    held_core_share: float
    control_core_share: float
    control_rss: float
    request: RequestCost


def derive_slopes(
    stages: Mapping[str, AverageUsage], change: ChangeCost, request: RequestCost, *, streams: int
) -> RoleSlopes:
    """Return the marginal costs derived from the stages of a role."""
    base, listed, changed = stages[STAGE_BASE], stages[STAGE_LIST], stages[STAGE_LIST_CHANGES]
    configured, linked, held = (
        stages[STAGE_CONFIGURATION],
        stages[STAGE_LINKS],
        stages[STAGE_HOLD],
    )
    list_read_s = (changed.core_share - listed.core_share) * changed.seconds / LIST_CHANGES
    # Held streams still send a few tokens, whose cost is not control overhead.
    token_share = streams * MS_PER_S / HOLD_GAP_MS * request.token_us / US_PER_S
    steady = held.core_share - token_share
    changes = get_mean_rate(change.other_cpu_s, times=CHANGES_PER_DAY)
    lists = get_mean_rate(list_read_s, times=LIST_CHANGES_PER_DAY)
    return RoleSlopes(
        base_rss=base.rss_bytes,
        rss_per_list_entry=(changed.rss_bytes - base.rss_bytes) / PROCESSES,
        rss_per_1000_workspaces=(configured.rss_bytes - changed.rss_bytes) * 1_000 / WORKSPACES,
        rss_per_link=(linked.rss_bytes - configured.rss_bytes) / (linked.links - configured.links),
        rss_per_stream=(held.rss_bytes - linked.rss_bytes) / streams,
        list_read_us_per_entry=list_read_s * US_PER_S / PROCESSES,
        change_us=change.other_cpu_s * US_PER_S,
        idle_core_share=base.core_share,
        links_core_share=linked.core_share,
        held_core_share=held.core_share,
        control_core_share=steady + changes + lists,
        control_rss=linked.rss_bytes,
        request=request,
    )


def measure_status_us(stages: Mapping[str, AverageUsage], *, frame_bytes: float) -> float:
    """Return the processor time of a received status, derived from two status rates."""
    slow, fast = stages[STAGE_LINKS], stages[STAGE_STATUSES]
    more = (fast.rates[KIND_STATUS] - slow.rates[KIND_STATUS]) / frame_bytes
    return (fast.core_share - slow.core_share) / more * US_PER_S


def measure_spread_token_us(full: FullSize, router: RoleSlopes) -> float:
    """Return the cost of a token for a router whose streams are spread over all its links.

    It is higher than with a few links, as fewer tokens share an iteration of the event loop.
    """
    requests = full.load_requests_s * router.request.request_us / US_PER_S
    share = full.router[STAGE_LOAD].core_share - router.control_core_share - requests
    return share / full.load_tokens_s * US_PER_S


SLOPES: Final[tuple[tuple[str, Callable[[RoleSlopes], float]], ...]] = (
    ("resident at the start, MB", lambda role: role.base_rss / MB),
    ("resident per list entry, bytes", lambda role: role.rss_per_list_entry),
    ("resident per 1,000 workspaces, KB", lambda role: role.rss_per_1000_workspaces / KB),
    ("resident per link, bytes", lambda role: role.rss_per_link),
    ("resident per open stream, bytes", lambda role: role.rss_per_stream),
    ("list read, us per entry", lambda role: role.list_read_us_per_entry),
    ("configuration change, us", lambda role: role.change_us),
    ("request, us", lambda role: role.request.request_us),
    ("token, us", lambda role: role.request.token_us),
    ("core share when idle", lambda role: role.idle_core_share),
    ("core share with idle links", lambda role: role.links_core_share),
    ("core share with open streams", lambda role: role.held_core_share),
)
