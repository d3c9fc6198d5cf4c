"""What a stopping router still takes."""

from __future__ import annotations

from gypsumrouter.forwarding.drain.admission import DrainAdmission

__all__ = ["DrainAdmission"]
