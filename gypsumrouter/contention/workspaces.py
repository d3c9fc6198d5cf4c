"""Max-min fair shares of workspaces in the work that competes for upstreams."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from typing import Final

from gypsumrouter.contention.heavy_hitters import HeavyHitters
from gypsumrouter.contention.peer_usage import MAX_ENTRIES, PeerSums, PeerUsages
from gypsumrouter.link import WorkspaceUsage, WorkspaceWork

# Time in which counted work decays by a factor of e. With a shorter one a surge of a workspace
# shows sooner, and the shares fluctuate more.
WINDOW_MS: Final = 4_000
# A workspace without requests for this long is not active; 5% of its work is still counted.
IDLE_MS: Final = 3 * WINDOW_MS
# The level is recomputed at most this often, since it takes up to 0.3 ms with all counters in use.
REFRESH_MS: Final = 200
# Summaries of peers that are older do not count. It is two of the longest intervals at which peers
# send them, and a second for the way through a relay.
PEER_USAGE_TTL_MS: Final = 5_000
# Work of one request above this is a caller's false statement; no engine has room for as many
# tokens.
MAX_COST: Final = 1e6
# Demands are taken to fit the capacity if they exceed it by at most this share, because peers'
# figures are rounded to single precision.
TOLERANCE: Final = 1e-6
# Lower bound on the share, as a part of the median demand. It bounds the excess while nearly
# nothing is served, as after a start. A flood of one workspace hardly moves the median.
MIN_MEDIAN_SHARE: Final = 0.25
# Workspaces in the state dump.
DUMPED_WORKSPACES: Final = 20


class WorkspaceShares:
    """The work of each workspace and its excess over its max-min fair share.

    The share follows from all demand, also that of requests that were refused, and from the
    capacity, which is the work that was served. Only work that was sent to upstreams is compared
    with the share: a workspace that was cut down to its share has no excess any more. Otherwise it
    would be refused altogether. All amounts are in prompt tokens (`forwarding.request_cost`).
    """

    __slots__ = (
        "_demand",
        "_level",
        "_own",
        "_peers",
        "_refreshed_ms",
        "_sent",
        "_served",
    )

    def __init__(self, *, tracked: int) -> None:
        # Work of this router's requests: that has arrived, and that was sent to upstreams.
        self._own = HeavyHitters(size=tracked, window_ms=WINDOW_MS)
        self._sent = HeavyHitters(size=tracked, window_ms=WINDOW_MS)
        # One sum over all workspaces.
        self._served = HeavyHitters(size=1, window_ms=WINDOW_MS)
        self._peers = PeerUsages()
        # Work over all routers that has arrived, as of the last refresh.
        self._demand: dict[str, float] = {}
        self._level = math.inf
        self._refreshed_ms: int | None = None

    def note(self, *, workspace: str, cost: float, now_ms: int) -> None:
        """Count a request that has arrived."""
        if cost > 0:
            self._own.add(workspace, min(cost, MAX_COST), now_ms=now_ms)

    def note_sent(self, *, workspace: str, cost: float, now_ms: int) -> None:
        """Count a request that is sent to an upstream, with the cost that it had in `note`."""
        if cost > 0:
            self._sent.add(workspace, min(cost, MAX_COST), now_ms=now_ms)

    def note_served(self, *, cost: float, now_ms: int) -> None:
        """Count a request that was answered, with the cost that it had in `note`."""
        if cost > 0:
            self._served.add("", min(cost, MAX_COST), now_ms=now_ms)

    def set_peer_usage(self, peer: str, usage: WorkspaceUsage | None, *, now_ms: int) -> None:
        """Replace the summary of a peer; an invalid one counts as nothing."""
        self._peers.set(peer, usage, now_ms=now_ms)

    def get_excess(self, workspace: str, *, now_ms: int) -> float:
        """Return 0 within the fair share, otherwise the ratio of the work to it, minus 1."""
        self._refresh(now_ms)
        work = self._get_sent_work(workspace, now_ms)
        return 0.0 if work <= self._level else work / self._level - 1

    def get_share(self, *, now_ms: int) -> float:
        """Return the largest work of a workspace without excess; infinite without competition."""
        self._refresh(now_ms)
        return self._level

    def summarize(
        self, *, now_ms: int, peers: Collection[str] = frozenset(), entries: int = MAX_ENTRIES
    ) -> WorkspaceUsage | None:
        """Return the summary of this router and of the named peers, None without any work.

        It lists the largest workspaces, at most `entries`.
        """
        self._peers.drop_expired(now_ms=now_ms, ttl_ms=PEER_USAGE_TTL_MS)
        sums = self._peers.sum_up(peers)
        total = self._own.get_total(now_ms=now_ms) + sums.total
        work = self._own.get_sums(now_ms=now_ms)
        sent = self._sent.get_sums(now_ms=now_ms)
        for name, listed in sums.by_workspace.items():
            work[name] = work.get(name, 0.0) + listed.work
            sent[name] = sent.get(name, 0.0) + listed.sent
        if not work:
            return None
        largest = sorted(work.items(), key=lambda item: (-item[1], item[0]))[:entries]
        return WorkspaceUsage(
            entries=tuple(
                WorkspaceWork(name=name, work=amount, sent=sent.get(name, 0.0))
                for name, amount in largest
            ),
            total=total,
            served=self._served.get_total(now_ms=now_ms) + sums.served,
        )

    def dump(self, *, now_ms: int) -> object:
        """Return the workspaces with the largest demand, and their work, share and excess."""
        self._refresh(now_ms)
        largest = sorted(self._demand.items(), key=lambda item: (-item[1], item[0]))
        share = None if math.isinf(self._level) else round(self._level, 1)
        return {
            name: {
                "demand": round(demand, 1),
                "work": round(self._get_sent_work(name, now_ms), 1),
                "share": share,
                "excess": round(self.get_excess(name, now_ms=now_ms), 3),
            }
            for name, demand in largest[:DUMPED_WORKSPACES]
        }

    def _get_sent_work(self, workspace: str, now_ms: int) -> float:
        """Return the work of a workspace that was sent to upstreams, over all routers.

        Of the work that no peer lists, the same part was sent as of the work that is known.
        """
        demand = self._demand.get(workspace)
        if demand is None:
            return 0.0
        known = self._own.get(workspace, now_ms=now_ms)
        sent = self._sent.get(workspace, now_ms=now_ms)
        listed = self._peers.sums.by_workspace.get(workspace)
        if listed is not None:
            known += listed.work
            sent += listed.sent
        # Work is counted on arrival and has decayed for longer than that which is sent later.
        return demand if sent >= known else demand * sent / known

    def _refresh(self, now_ms: int) -> None:
        """Recompute the demands and the level if they are older than `REFRESH_MS`."""
        refreshed_ms = self._refreshed_ms
        if refreshed_ms is not None and 0 <= now_ms - refreshed_ms < REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        self._own.drop_idle(before_ms=now_ms - IDLE_MS)
        self._sent.drop_idle(before_ms=now_ms - IDLE_MS)
        self._peers.drop_expired(now_ms=now_ms, ttl_ms=PEER_USAGE_TTL_MS)
        own = self._own.get_sums(now_ms=now_ms)
        own_total = self._own.get_total(now_ms=now_ms)
        sums = self._peers.sums
        self._demand = estimate_demand(own, own_total=own_total, peers=sums)
        served = min(self._served.get_total(now_ms=now_ms), own_total) + sums.served
        # Work of workspaces that are not known by name; each of them is small.
        unnamed = max(0.0, own_total + sums.total - sum(self._demand.values()))
        level = get_level(self._demand.values(), capacity=served - unnamed)
        # A workspace without a counter has no excess, so neither has one with as little work.
        self._level = max(level, self._own.get_max_uncounted(now_ms=now_ms))


def estimate_demand(
    own: dict[str, float], *, own_total: float, peers: PeerSums
) -> dict[str, float]:
    """Return the work of each workspace over all routers.

    A peer lists only its largest workspaces. Where it does not list one, its part of the peer's
    work is assumed to be that of this router, but not more than the smallest work that is listed.
    Without this, equal workspaces would differ by the number of peers that happen to list them.
    """
    by_workspace = peers.by_workspace
    total, most_unlisted = peers.total, float(peers.most_unlisted)
    ratio = total / own_total if own_total else 0.0
    demand: dict[str, float] = {name: listed.work for name, listed in by_workspace.items()}
    for name, work in own.items():
        listed = by_workspace.get(name)
        if listed is None:
            unlisted = work * ratio
            demand[name] = work + (unlisted if unlisted < most_unlisted else most_unlisted)
        else:
            unlisted = work * ratio * (total - listed.total) / total if total else 0.0
            demand[name] = work + listed.work + min(unlisted, most_unlisted - listed.most_unlisted)
    return demand


def get_level(demands: Iterable[float], *, capacity: float) -> float:
    """Return the max-min fair share: the sum of min(demand, share) is the capacity.

    It is infinite where all demands fit and where only one workspace has any. It is at least
    `MIN_MEDIAN_SHARE` of the median demand.
    """
    ordered = sorted(demands)
    total = sum(ordered)
    if len(ordered) < 2 or total - capacity <= total * TOLERANCE:
        return math.inf
    median = ordered[(len(ordered) - 1) // 2]
    left = capacity
    for index, demand in enumerate(ordered):
        part = left / (len(ordered) - index)
        if demand > part:
            return max(part, median * MIN_MEDIAN_SHARE)
        left -= demand
    return math.inf
