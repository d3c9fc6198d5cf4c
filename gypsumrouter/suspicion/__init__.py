"""Requests that crash their upstream: strikes, isolation, refusal and the news of them."""

from __future__ import annotations

from gypsumrouter.suspicion.gate import Token
from gypsumrouter.suspicion.outcomes import Clear, Suspect, Verdict
from gypsumrouter.suspicion.places import find_isolation_places
from gypsumrouter.suspicion.suspicion import Suspicion

__all__ = ["Clear", "Suspect", "Suspicion", "Token", "Verdict", "find_isolation_places"]
