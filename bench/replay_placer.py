"""The placer of one router without a network, and upstreams that are ready from the start."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Evacuations, Record
from gypsumrouter.forwarding.health.backoff import BackoffTracker
from gypsumrouter.forwarding.health.slow_start import SlowStartLimiter
from gypsumrouter.forwarding.health.tracker import HealthTracker
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.settings import Contention

SOURCE: Final = "replay"
ADDRESS: Final = Address(host="10.0.0.1", port=80)


def make_replay_placer(
    *,
    app: Application,
    journal: Journal,
    directory: Directory,
    cap: Cap,
    health: HealthTracker | None = None,
    evacuations: Evacuations | None = None,
    slow_start: SlowStartLimiter | None = None,
    evacuation_ms: int = 0,
    contention: Contention | None = None,
    without: frozenset[Mechanism] = frozenset(),
) -> Placer:
    """Return a placer; what is not given starts without state."""
    return Placer(
        app=app,
        directory=directory,
        cap=cap,
        health=health or HealthTracker(clock=app.clock, journal=journal),
        backoffs=BackoffTracker(clock=app.clock, journal=journal),
        evacuations=evacuations or Evacuations(app=app, journal=journal),
        slow_start=slow_start or SlowStartLimiter(clock=app.clock, journal=journal),
        evacuation_ms=evacuation_ms,
        contention=contention,
        without=without,
    )


def make_ready_entry(
    upstream: str, *, service: str, slots: int, data_centre: str = "a", address: Address = ADDRESS
) -> Entry:
    """Return the directory entry of an upstream that takes requests."""
    return Entry(
        upstream=upstream,
        state=EntryState.READY,
        service=service,
        address=address,
        data_centre=data_centre,
        slots=slots,
    )


def add_entries(directory: Directory, entries: Iterable[Entry]) -> None:
    """Add entries with revisions from 1 on."""
    for revision, entry in enumerate(entries, start=1):
        directory.merge(Record(revision=revision, entry=entry), source=SOURCE)
