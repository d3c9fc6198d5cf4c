"""Admission: load, cap, order of the queue and shares of one upstream."""

from __future__ import annotations

from gypsumrouter.admission.admission import Admission
from gypsumrouter.admission.slots import Slot

__all__ = ["Admission", "Slot"]
