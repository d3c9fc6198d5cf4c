"""Cached prompt prefixes: fetched from the engine that has them, handed on before a stop."""

from __future__ import annotations

from gypsumrouter.prefixes.prefixes import Prefixes

__all__ = ["Prefixes"]
