"""Forwarding: a router that reaches upstreams itself, where they have no side."""

from __future__ import annotations

from gypsumrouter.forwarding.forwarder import Forwarder
from gypsumrouter.forwarding.models import (
    AttemptOptions,
    CallerRequest,
    Dialect,
    Prompt,
    PromptPart,
    ResponseMetadata,
)

__all__ = [
    "AttemptOptions",
    "CallerRequest",
    "Dialect",
    "Forwarder",
    "Prompt",
    "PromptPart",
    "ResponseMetadata",
]
