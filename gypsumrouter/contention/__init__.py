"""Decisions of the forwarder while upstreams have too little room for all requests."""

from gypsumrouter.contention.return_lane import FleetPosition
from gypsumrouter.contention.returns import Return, ReturnSchedule

__all__ = ["FleetPosition", "Return", "ReturnSchedule"]
