"""The latest summaries of workspaces' work that peers have sent, and their sums."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Final

from msgspec import Struct

from gypsumrouter.link import WorkspaceUsage

# Entries of a summary in a message.
MAX_ENTRIES: Final = 8
# Longest name in the published configuration (`util.validation.Name`).
MAX_NAME_CHARS: Final = 63
# Largest work of one router or data centre in a window, in tokens. 930 engines that prefill 100
# tokens per ms do 3.7e8 in 4 s; a figure above this limit is wrong.
MAX_WORK: Final = 1e9
# Single-precision rounding of `total` and of the entries on the wire.
ROUNDING: Final = 1.0001
# Peers with a summary; the registry of routers has the same limit.
MAX_PEERS: Final = 1_000


class _Received(Struct, frozen=True, kw_only=True):
    """A valid summary in whole units; `most_unlisted` bounds the work of any other workspace."""

    received_ms: int
    work: dict[str, int]
    sent: dict[str, int]
    total: int
    served: int
    most_unlisted: int


class ListedWork:
    """Sums over the peers that list one workspace, whose number is `peers`.

    `work` and `sent` are those of the workspace, `total` and `most_unlisted` those of these peers
    as in `PeerSums`.
    """

    __slots__ = ("most_unlisted", "peers", "sent", "total", "work")

    def __init__(self) -> None:
        self.peers = 0
        self.work = 0
        self.sent = 0
        self.total = 0
        self.most_unlisted = 0


class PeerSums:
    """Sums over the summaries of peers, which are updated with each summary.

    `total` and `served` are the peers' whole work, and the part of it that was answered.
    `most_unlisted` is an upper bound on the work of a workspace that no peer lists. Work is in
    whole units, so that sums do not drift.
    """

    __slots__ = ("by_workspace", "most_unlisted", "served", "total")

    def __init__(self) -> None:
        self.by_workspace: dict[str, ListedWork] = {}
        self.total = 0
        self.served = 0
        self.most_unlisted = 0

    def add(self, received: _Received, *, sign: int = 1) -> None:
        """Add a summary, or remove one with the sign -1."""
        total, most_unlisted = sign * received.total, sign * received.most_unlisted
        self.total += total
        self.served += sign * received.served
        self.most_unlisted += most_unlisted
        for name, work in received.work.items():
            listed = self.by_workspace.get(name)
            if listed is None:
                listed = self.by_workspace[name] = ListedWork()
            listed.peers += sign
            listed.work += sign * work
            listed.sent += sign * received.sent[name]
            listed.total += total
            listed.most_unlisted += most_unlisted
            if not listed.peers:
                del self.by_workspace[name]


class PeerUsages:
    """Keeps the last valid summary of each peer until it expires, and their sums."""

    __slots__ = ("_received", "sums")

    def __init__(self) -> None:
        self._received: dict[str, _Received] = {}
        self.sums = PeerSums()

    def set(self, peer: str, usage: WorkspaceUsage | None, *, now_ms: int) -> None:
        """Replace the summary of a peer; an invalid one only removes the one before.

        None, from a message without a summary, changes nothing.
        """
        if usage is None:
            return
        self._drop(peer)
        if is_valid(usage) and len(self._received) < MAX_PEERS:
            received = _receive(usage, now_ms)
            self._received[peer] = received
            self.sums.add(received)

    def drop_expired(self, *, now_ms: int, ttl_ms: int) -> None:
        """Drop the summaries that are older than `ttl_ms`."""
        oldest_ms = now_ms - ttl_ms
        for peer in [p for p, r in self._received.items() if r.received_ms < oldest_ms]:
            self._drop(peer)

    def sum_up(self, peers: Collection[str]) -> PeerSums:
        """Return the sums over the peers with the given names."""
        sums = PeerSums()
        for peer in peers:
            received = self._received.get(peer)
            if received is not None:
                sums.add(received)
        return sums

    def _drop(self, peer: str) -> None:
        received = self._received.pop(peer, None)
        if received is not None:
            self.sums.add(received, sign=-1)


def get_most_unlisted(usage: WorkspaceUsage) -> float:
    """Return an upper bound on the work of a workspace that is not among the entries."""
    listed = [entry.work for entry in usage.entries]
    return min(listed, default=0.0) if sum(listed) * ROUNDING < usage.total else 0.0


def is_valid(usage: WorkspaceUsage) -> bool:
    """Return whether a summary can be that of a router."""
    entries = usage.entries
    if len(entries) > MAX_ENTRIES or len({entry.name for entry in entries}) < len(entries):
        return False
    if not all(_is_amount(amount) for amount in (usage.total, usage.served)):
        return False
    if not all(len(e.name) <= MAX_NAME_CHARS and _is_amount(e.work) for e in entries):
        return False
    if not all(_is_amount(entry.sent) for entry in entries):
        return False
    return sum(entry.work for entry in entries) <= usage.total * ROUNDING


def _receive(usage: WorkspaceUsage, now_ms: int) -> _Received:
    return _Received(
        received_ms=now_ms,
        work={entry.name: round(entry.work) for entry in usage.entries},
        sent={entry.name: round(min(entry.sent, entry.work)) for entry in usage.entries},
        total=round(usage.total),
        # A peer whose demand has just ended still serves; it has no more room than demand.
        served=round(min(usage.served, usage.total)),
        most_unlisted=round(get_most_unlisted(usage)),
    )


def _is_amount(amount: float) -> bool:
    return math.isfinite(amount) and 0 <= amount <= MAX_WORK
