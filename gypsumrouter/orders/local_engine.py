"""State of the local engine, and the holding that is published for it."""

from __future__ import annotations

from collections.abc import Iterator

from gypsumrouter.link.models import EngineStatus, ModelStatus
from gypsumrouter.orders.demand import Demand
from gypsumrouter.orders.gossip import has_changed
from gypsumrouter.orders.models import Change, EngineState, OrderKind
from gypsumrouter.orders.retries import Retries
from gypsumrouter.util.clock import Clock

# Published loads are multiples of 1 / LOAD_STEPS.
LOAD_STEPS = 4


class LocalEngine:
    """The last state read from the engine, the change in progress, and the load being retried."""

    __slots__ = (
        "_clock",
        "_demand",
        "_name",
        "_retries",
        "address",
        "change",
        "confirmed",
        "holding",
        "retrying",
        "state",
    )

    def __init__(self, *, name: str, clock: Clock, demand: Demand, retries: Retries) -> None:
        self._name = name
        self._clock = clock
        self._demand = demand
        self._retries = retries
        self.address = ""
        self.state: EngineState | None = None
        self.change: Change | None = None
        self.confirmed = False
        self.retrying: Change | None = None
        self.holding = EngineStatus(name=name, stamp_ms=0, engine="", up=False)

    @property
    def rejected_models(self) -> frozenset[str]:
        """Return the models for which new requests are rejected."""
        return self._get_withdrawn() if self.confirmed else frozenset()

    def begin(self, change: Change) -> None:
        """Announce a change; requests are rejected once it is confirmed."""
        self.change = change
        self.confirmed = False

    def end(self) -> None:
        """Clear the change in progress."""
        self.change = None

    def is_loading(self, change: Change) -> bool:
        """Return whether the engine is loading the model version of a change."""
        state = self.state
        if state is None or change.kind is not OrderKind.LOAD:
            return False
        return state.pending.get(change.name) == change.version

    def refresh(self, *, due_ms: int) -> bool:
        """Update the holding; return whether it has changed and must be announced.

        An unchanged holding gets a new stamp once it is older than `due_ms`.
        """
        now_ms = self._clock.wall_ms()
        made = self._make(max(now_ms, self.holding.stamp_ms + 1))
        changed = has_changed(self.holding, made)
        if changed or now_ms - self.holding.stamp_ms >= due_ms:
            self.holding = made
        return changed

    def _make(self, stamp_ms: int) -> EngineStatus:
        state = self.state
        if state is None:
            return EngineStatus(name=self._name, stamp_ms=stamp_ms, engine=self.address, up=False)
        return EngineStatus(
            name=self._name,
            stamp_ms=stamp_ms,
            engine=self.address,
            up=True,
            role=state.role,
            models=tuple(self._list_models(state)),
        )

    def _list_models(self, state: EngineState) -> Iterator[ModelStatus]:
        change = self.change
        dropped = () if change is None else change.drops
        withdrawn = self._get_withdrawn()
        loading = dict(state.pending)
        for unfinished in (self.retrying, change):
            if unfinished is not None and unfinished.kind is OrderKind.LOAD:
                loading[unfinished.name] = unfinished.version
        for name in sorted(state.models.keys() | loading.keys()):
            if name in dropped:
                continue
            yield ModelStatus(
                name=name,
                version=state.models.get(name, ""),
                next_version=loading.get(name, ""),
                serving=name in state.models and name not in withdrawn,
                load=_round(self._demand.get_smoothed(name)),
                failures=self._retries.get_failures(name),
            )

    def _get_withdrawn(self) -> frozenset[str]:
        return frozenset() if self.change is None else frozenset(self.change.withdraws)


def _round(load: float) -> float:
    """Return a load rounded to a value that is exact after encoding for a link."""
    return round(load * LOAD_STEPS) / LOAD_STEPS
