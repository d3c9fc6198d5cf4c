"""Load of instances and pools as known to a router from recent statuses."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.configuration.models import Pool
from gypsumrouter.core import Application
from gypsumrouter.instances import Instance
from gypsumrouter.link.models import PoolLoad, Status
from gypsumrouter.placement.const import (
    MODELS_MAX_AGE_MS,
    POOL_LOAD_REFRESH_INTERVAL_MS,
    POOL_LOAD_SAMPLE_SIZE,
    STATUS_MAX_AGE_MS,
)
from gypsumrouter.placement.models import MemberSource, StatusSource


class _PoolSample(Struct, frozen=True, kw_only=True):
    sampled_at_ms: int
    load: PoolLoad


class LoadView:
    """Loads of instances and pools, computed from statuses that are recent enough."""

    __slots__ = ("_app", "_fleet", "_links", "_offset", "_pool_samples")

    def __init__(self, *, app: Application, fleet: MemberSource, links: StatusSource) -> None:
        self._app = app
        self._fleet = fleet
        self._links = links
        self._pool_samples: dict[str, _PoolSample] = {}
        self._offset = 0

    def get_fresh_status(self, instance: Instance) -> Status | None:
        """Return the last status of an instance, or None if older than STATUS_MAX_AGE_MS."""
        view = self._links.status(instance.name)
        if view is None or view.age_ms > STATUS_MAX_AGE_MS:
            return None
        return view.status

    def may_serve_model(self, instance: Instance, model: str) -> bool:
        """Return False only if a recent status lists models without this one."""
        if not model:
            return True
        view = self._links.status(instance.name)
        if view is None or view.age_ms > MODELS_MAX_AGE_MS or not view.status.models:
            return True
        return model in view.status.models

    def is_unavailable(self, instance: Instance) -> bool:
        """Return whether a recent status reports the instance as leaving or not ready."""
        status = self.get_fresh_status(instance)
        return status is not None and (status.leaving or not status.ready)

    def is_over_cap(self, instance: Instance, pool: Pool) -> bool:
        """Return whether one more request would exceed the pool's cap at the instance."""
        status = self.get_fresh_status(instance)
        if status is None or status.load < pool.floor:
            return False
        load = self.pool_load(pool)
        if load is None or load.known == 0 or load.members <= pool.cap:
            return False
        return status.load + 1 > pool.cap * load.mean * status.weight

    def relative_load(self, instance: Instance, pool: Pool) -> float:
        """Return the load per unit of weight, or the pool's mean if it is unknown."""
        status = self.get_fresh_status(instance)
        if status is not None:
            return status.load / status.weight
        load = self.pool_load(pool)
        return 0.0 if load is None else load.mean

    def relative_backlog(self, instance: Instance, pool: Pool) -> float:
        """Return the load plus waiting batch work per unit of weight."""
        status = self.get_fresh_status(instance)
        waiting = 0.0 if status is None else status.batch_waiting / status.weight
        return self.relative_load(instance, pool) + waiting

    def pool_load(self, pool: Pool) -> PoolLoad | None:
        """Return the mean load of a pool, or None if it has no members.

        Of a large pool only a rotating sample of the members is read, which bounds the cost.
        """
        now_ms = self._app.clock.now_ms()
        sample = self._pool_samples.get(pool.name)
        if sample is None or now_ms - sample.sampled_at_ms >= POOL_LOAD_REFRESH_INTERVAL_MS:
            sample = _PoolSample(sampled_at_ms=now_ms, load=self._sample_pool(pool))
            self._pool_samples[pool.name] = sample
        load = sample.load
        if load.members == 0:
            return None
        elapsed_ms = now_ms - sample.sampled_at_ms
        if elapsed_ms == 0:
            return load
        return PoolLoad(
            mean=load.mean,
            known=load.known,
            members=load.members,
            age_ms=load.age_ms + elapsed_ms,
        )

    def dump(self) -> dict[str, object]:
        """Return the last computed load of each pool for the state dump."""
        return {
            name: {
                "mean": round(sample.load.mean, 3),
                "known": sample.load.known,
                "members": sample.load.members,
                "age_ms": sample.load.age_ms + self._app.clock.now_ms() - sample.sampled_at_ms,
            }
            for name, sample in self._pool_samples.items()
        }

    def _sample_pool(self, pool: Pool) -> PoolLoad:
        members = self._fleet.members(pool.name)
        load_sum = 0
        weight_sum = 0.0
        age_sum = 0
        known = 0
        for member in self._select_sample(members):
            view = self._links.status(member.name)
            if view is None or view.age_ms > STATUS_MAX_AGE_MS:
                continue
            load_sum += view.status.load
            weight_sum += view.status.weight
            age_sum += view.age_ms
            known += 1
        if known == 0:
            return PoolLoad(mean=0.0, known=0, members=len(members), age_ms=0)
        return PoolLoad(
            mean=load_sum / weight_sum,
            known=known,
            members=len(members),
            age_ms=age_sum // known,
        )

    def _select_sample(self, members: tuple[Instance, ...]) -> tuple[Instance, ...]:
        if len(members) <= POOL_LOAD_SAMPLE_SIZE:
            return members
        step = -(-len(members) // POOL_LOAD_SAMPLE_SIZE)
        self._offset = (self._offset + 1) % step
        return members[self._offset :: step]
