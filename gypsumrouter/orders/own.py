"""What this side knows and tells of its own engine."""

from __future__ import annotations

from collections.abc import Iterator

from gypsumrouter.link.models import EngineStatus, ModelStatus
from gypsumrouter.orders.demand import Demand
from gypsumrouter.orders.models import Change, EngineState, OrderKind
from gypsumrouter.orders.news import differs
from gypsumrouter.orders.retries import Retries
from gypsumrouter.util.clock import Clock

LOAD_STEPS = 4


class OwnEngine:
    """The last state of the engine, the change under way, and the load that is tried again."""

    __slots__ = (
        "_clock",
        "_demand",
        "_name",
        "_retries",
        "address",
        "change",
        "confirmed",
        "holding",
        "retried",
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
        self.retried: Change | None = None
        self.holding = EngineStatus(name=name, stamp_ms=0, engine="", up=False)

    @property
    def turned_away(self) -> frozenset[str]:
        """Return the models for which no new requests may be taken."""
        return self._get_withdrawn() if self.confirmed else frozenset()

    def begin(self, change: Change) -> None:
        """Announce a change; requests are turned away once it is confirmed."""
        self.change = change
        self.confirmed = False

    def end(self) -> None:
        """Note that no change is under way any more."""
        self.change = None

    def is_loading(self, change: Change) -> bool:
        """Return whether the engine loads now what a change is about."""
        state = self.state
        if state is None or change.kind is not OrderKind.LOAD:
            return False
        return state.pending.get(change.name) == change.version

    def restamp(self, *, due_ms: int) -> bool:
        """Bring the holding up to date; return whether others must hear of it at once.

        Without a difference it is stamped anew once it is older than `due_ms`.
        """
        now_ms = self._clock.wall_ms()
        made = self._make(max(now_ms, self.holding.stamp_ms + 1))
        changed = differs(self.holding, made)
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
        for begun in (self.retried, change):
            if begun is not None and begun.kind is OrderKind.LOAD:
                loading[begun.name] = begun.version
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
    """Return a load that is the same number after its way over a link."""
    return round(load * LOAD_STEPS) / LOAD_STEPS
