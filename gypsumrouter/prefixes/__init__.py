"""Transfer of cached prompt prefixes between engines, on demand and before a planned stop."""

from __future__ import annotations

from gypsumrouter.prefixes.prefixes import Prefixes

__all__ = ["Prefixes"]
