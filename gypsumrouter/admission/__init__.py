"""Admission control for one upstream: load limit, wait queue and workspace shares."""

from __future__ import annotations

from gypsumrouter.admission.admission import Admission
from gypsumrouter.admission.slots import Slot

__all__ = ["Admission", "Slot"]
