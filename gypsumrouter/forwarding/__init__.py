"""Forwarding: a router that reaches upstreams itself, where they have no side."""

from __future__ import annotations

from gypsumrouter.forwarding.forwarder import Forwarder
from gypsumrouter.forwarding.models import (
    AnswerFacts,
    CallerRequest,
    Dialect,
    Prompt,
    PromptPart,
    Sending,
)

__all__ = [
    "AnswerFacts",
    "CallerRequest",
    "Dialect",
    "Forwarder",
    "Prompt",
    "PromptPart",
    "Sending",
]
