"""Readiness of the router for load balancers, and whether it accepts requests."""

from __future__ import annotations

from gypsumrouter.core import Application
from gypsumrouter.fleet import Fleet
from gypsumrouter.gateway.policies import CompiledPolicy, PolicyHolder


class Readiness:
    """Readiness state of the gateway.

    A draining router reports that it is not ready immediately, but accepts requests until `closed`
    is set, so that load balancers have time to react.
    """

    __slots__ = ("_app", "_fleet", "_policies", "closed")

    def __init__(self, *, app: Application, fleet: Fleet, policies: PolicyHolder) -> None:
        self._app = app
        self._fleet = fleet
        self._policies = policies
        self.closed = False

    @property
    def draining(self) -> bool:
        """Return whether the process is stopping."""
        return self._app.stopping.is_set()

    @property
    def ready(self) -> bool:
        """Return whether load balancers should send new requests."""
        return not self.draining and self.policy is not None

    @property
    def policy(self) -> CompiledPolicy | None:
        """Return the policy in force, None without a configuration or an instance list."""
        if self._fleet.list_age_ms() is None:
            return None
        return self._policies.current
