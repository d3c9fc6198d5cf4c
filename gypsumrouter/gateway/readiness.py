"""Whether this router may get new requests, and whether it still takes them."""

from __future__ import annotations

from gypsumrouter.core import Application
from gypsumrouter.fleet import Fleet
from gypsumrouter.gateway.policies import CompiledPolicy, PolicyHolder


class Readiness:
    """What the balancer and new requests are told.

    A leaving router is not ready at once, but takes requests until it is `closed`, so that
    balancers have time to see it.
    """

    __slots__ = ("_app", "_fleet", "_policies", "closed")

    def __init__(self, *, app: Application, fleet: Fleet, policies: PolicyHolder) -> None:
        self._app = app
        self._fleet = fleet
        self._policies = policies
        self.closed = False

    @property
    def draining(self) -> bool:
        """Return whether a stop has begun."""
        return self._app.stopping.is_set()

    @property
    def ready(self) -> bool:
        """Return whether the balancer should send new requests."""
        return not self.draining and self.policy is not None

    @property
    def policy(self) -> CompiledPolicy | None:
        """Return the policy in force, None until the configuration and the list are there."""
        if self._fleet.list_age_ms() is None:
            return None
        return self._policies.current
