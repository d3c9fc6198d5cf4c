"""Places requests: chooses an upstream for each attempt, and learns from what came of it."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from functools import partial

from gypsumrouter.contention import Expected
from gypsumrouter.core import Application, Remove
from gypsumrouter.directory import Directory, Entry, Evacuations
from gypsumrouter.forwarding.choice import UpstreamChooser
from gypsumrouter.forwarding.eligibility import Eligibility, PlacementRefusal
from gypsumrouter.forwarding.health.backoff import BackoffTracker
from gypsumrouter.forwarding.health.signals import UpstreamSignals
from gypsumrouter.forwarding.health.slow_start import SlowStartLimiter
from gypsumrouter.forwarding.health.tracker import HealthTracker
from gypsumrouter.forwarding.models import Prompt, ResponseMetadata
from gypsumrouter.forwarding.placed import Placement, SentRequest
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.forwarding.ready_upstreams import ReadyUpstreams
from gypsumrouter.forwarding.sent_requests import PlacementListener, SentRequests
from gypsumrouter.forwarding.trackers import UpstreamTrackers
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.settings import Contention


class Placer:
    """Wires the parts of placement, and passes each call on to the part that does it."""

    __slots__ = (
        "_chooser",
        "_clock",
        "_ready",
        "_sent",
        "_signals",
        "_trackers",
        "backoffs",
        "cache_index",
        "health",
        "load_reports",
        "loads",
        "plain",
        "prefill_speed",
        "slow_start",
        "uneven_load",
    )

    def __init__(
        self,
        *,
        app: Application,
        directory: Directory,
        cap: Cap,
        health: HealthTracker,
        backoffs: BackoffTracker,
        evacuations: Evacuations,
        slow_start: SlowStartLimiter,
        evacuation_ms: int = 0,
        contention: Contention | None = None,
        without: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._clock = app.clock
        trackers = UpstreamTrackers(
            health=health,
            backoffs=backoffs,
            slow_start=slow_start,
            contention=contention,
            without=without,
        )
        self._trackers = trackers
        self.health = health
        self.backoffs = backoffs
        self.slow_start = slow_start
        self.prefill_speed = trackers.prefill_speed
        self.uneven_load = trackers.uneven_load
        self.cache_index = trackers.cache_index
        self.load_reports = trackers.load_reports
        self.plain = trackers.plain
        self.loads = trackers.loads
        eligibility = Eligibility(
            evacuations=evacuations,
            health=health,
            backoffs=backoffs,
            slow_start=slow_start,
            evacuation_ms=evacuation_ms,
            without=without,
        )
        self._chooser = UpstreamChooser(
            app=app,
            directory=directory,
            cap=cap,
            eligibility=eligibility,
            trackers=trackers,
            without=without,
        )
        self._sent = SentRequests(clock=app.clock, trackers=trackers)
        self._signals = UpstreamSignals(
            app=app, directory=directory, trackers=trackers, without=without
        )
        self._ready = ReadyUpstreams(
            clock=app.clock,
            directory=directory,
            evacuations=evacuations,
            trackers=trackers,
            without=without,
        )

    def set_bounds(self, cap: Cap, *, evacuation_ms: int) -> None:
        """Replace the load cap and the evacuation bound."""
        self._chooser.set_bounds(cap, evacuation_ms=evacuation_ms)

    def on_placed(self, listener: PlacementListener) -> Remove:
        """Call `listener(part, upstream)` for each shared prompt part sent to an upstream."""
        return self._sent.on_placed(listener)

    def list_ready(self, service: str) -> Collection[Entry]:
        """Return the upstreams of a service that are ready for new requests."""
        return self._ready.get(service).values()

    def list_eligible(self, service: str) -> tuple[Entry, ...]:
        """Return the upstreams of a service that may receive a request now."""
        return self._chooser.select_eligible(self.list_ready(service))

    def is_cached(self, prompt: Prompt) -> bool:
        """Return whether some engine is known to have shared parts of a prompt in its cache."""
        return self._chooser.is_cached(prompt)

    def place(
        self,
        *,
        service: str,
        prompt: Prompt | None,
        excluded: Collection[str],
        avoided: Collection[str] = (),
        limit_ms: int | None = None,
        needed_permits: int = 1,
        version: str | None = None,
    ) -> Placement | PlacementRefusal:
        """Return the best upstream that is not in `excluded`, or why there is none.

        One in `avoided` is returned only if no other one can take the request now. With `version`,
        only upstreams whose software has that version are considered.

        A plain request (one without a prompt) is refused if its response is expected to take
        longer than `limit_ms`, unless there are `needed_permits`. Without `limit_ms` it is not
        refused for that, and no permit is used.
        """
        choose = partial(
            self._chooser.choose,
            self._ready.get(service),
            service=service,
            prompt=prompt,
            limit_ms=limit_ms,
            needed_permits=needed_permits,
            version=version,
        )
        if avoided:
            preferred = choose(excluded={*excluded, *avoided})
            if not isinstance(preferred, PlacementRefusal):
                return preferred
        return choose(excluded=excluded)

    def estimate(self, placed: Placement, prompt: Prompt | None) -> Expected:
        """Return the expected time of a placed request until the first event or the response."""
        return self._chooser.estimate(placed, prompt)

    def note_sent(self, placed: Placement, prompt: Prompt | None) -> SentRequest:
        """Record a request that is sent, and the prompt parts that its upstream will cache."""
        return self._sent.begin(placed, prompt)

    def note_prefilled(self, sent: SentRequest) -> None:
        """Record that a response has begun, or that the attempt ended without one."""
        self._sent.note_prefilled(sent)

    def note_first_event(self, sent: SentRequest) -> None:
        """Update the prefill speed from the time to the first event of a response."""
        self._sent.note_first_event(sent)

    def note_not_run(self, sent: SentRequest) -> None:
        """Undo the cache entries recorded for a request that its upstream did not run."""
        self._sent.note_not_run(sent)

    def note_ended(self, sent: SentRequest, *, held_ms: int) -> None:
        """Record that an attempt has ended, and how long it counted as running."""
        self._sent.end(sent, held_ms=held_ms)

    def apply_response_metadata(self, entry: Entry, metadata: ResponseMetadata) -> None:
        """Apply what an upstream announced in a response."""
        self._signals.apply_response_metadata(entry, metadata)

    def note_unreachable(self, entry: Entry, *, reason: str, refused: bool) -> None:
        """Record a failed connection attempt; `refused` if the host actively refused it."""
        self._signals.note_unreachable(entry, reason=reason, refused=refused)

    def apply_peer_refusals(self, upstreams: Iterable[str]) -> None:
        """Record upstreams that recently refused connections of peer routers."""
        self._signals.apply_peer_refusals(upstreams)

    def note_cached(self, *, part: int, upstream: str) -> None:
        """Record a prompt part that an upstream reports as cached."""
        self._signals.note_cached(part=part, upstream=upstream)

    def sweep(self) -> None:
        """Drop expired state; call this about once a second."""
        now_ms = self._clock.now_ms()
        self._trackers.sweep(now_ms=now_ms)
        self._ready.sweep(now_ms=now_ms)
