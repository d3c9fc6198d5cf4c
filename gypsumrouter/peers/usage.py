"""Exchange of the summaries of workspaces' work between routers, at a bounded rate."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from msgspec.structs import replace

from gypsumrouter.contention import MAX_ENTRIES, WorkspaceShares
from gypsumrouter.link import DataCentreLoads, WorkspaceUsage
from gypsumrouter.peers.routers import PeerRouter, RemoteDataCentre
from gypsumrouter.util.clock import Clock

# A summary of 8 entries with names of 12 characters adds 232 bytes to an update. Sent to each of up
# to 11 receivers every 200 ms per receiver, that is 1.2 KB a second.
USAGE_INTERVAL_MS_PER_RECEIVER: Final = 200
MIN_USAGE_INTERVAL_MS: Final = 400
# Above 11 receivers the interval stays and the entries become fewer, since older figures would not
# count any more.
MAX_USAGE_INTERVAL_MS: Final = 2_200
FULL_RECEIVERS: Final = MAX_USAGE_INTERVAL_MS // USAGE_INTERVAL_MS_PER_RECEIVER


class UsageExchange:
    """Decides when a peer or a data centre is sent a summary; without `shares` never."""

    __slots__ = ("_clock", "_shares")

    def __init__(self, *, clock: Clock, shares: WorkspaceShares | None) -> None:
        self._clock = clock
        self._shares = shares

    def get_due(
        self,
        target: PeerRouter | RemoteDataCentre,
        *,
        receivers: int,
        peers: Collection[str] = frozenset(),
    ) -> WorkspaceUsage | None:
        """Return the summary to send to a target, None if it was sent one recently.

        `receivers` is the number of routers to which summaries go, also through relays. The summary
        includes the work that the named peers have reported.
        """
        now_ms = self._clock.now_ms()
        interval_ms = get_interval_ms(receivers)
        if self._shares is None or now_ms - target.sent_usage_ms < interval_ms:
            return None
        target.sent_usage_ms = now_ms
        entries = get_entry_count(receivers)
        return self._shares.summarize(now_ms=now_ms, peers=peers, entries=entries)

    def apply(self, peer: str, usage: WorkspaceUsage | None) -> None:
        """Apply the summary in an update from a peer or of a data centre."""
        if self._shares is not None:
            self._shares.set_peer_usage(peer, usage, now_ms=self._clock.now_ms())


def keep_usage(loads: DataCentreLoads, *, waiting: DataCentreLoads | None) -> DataCentreLoads:
    """Return the loads with the summary of those that they replace, unless they have their own."""
    if loads.usage is not None or waiting is None:
        return loads
    return replace(loads, usage=waiting.usage)


def get_interval_ms(receivers: int) -> int:
    """Return the interval at which one target is sent a summary."""
    interval_ms = USAGE_INTERVAL_MS_PER_RECEIVER * receivers
    return min(MAX_USAGE_INTERVAL_MS, max(MIN_USAGE_INTERVAL_MS, interval_ms))


def get_entry_count(receivers: int) -> int:
    """Return the number of workspaces in a summary."""
    return max(1, MAX_ENTRIES * FULL_RECEIVERS // max(FULL_RECEIVERS, receivers))
