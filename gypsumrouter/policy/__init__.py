"""Routing rules, caller classes and pools, compiled from a configuration."""

from __future__ import annotations

from gypsumrouter.policy.models import Decision, Explanation, Miss, RequestFacts
from gypsumrouter.policy.policy import Policy

__all__ = ["Decision", "Explanation", "Miss", "Policy", "RequestFacts"]
