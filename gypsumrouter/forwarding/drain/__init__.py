"""What a stopping router still takes."""

from __future__ import annotations

from gypsumrouter.forwarding.drain.admission import DrainAdmission
from gypsumrouter.forwarding.drain.lateness import LoopTicks
from gypsumrouter.forwarding.drain.request_admission import RequestAdmission

__all__ = ["DrainAdmission", "LoopTicks", "RequestAdmission"]
