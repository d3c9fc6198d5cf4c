"""Forwarding of callers' HTTP requests from a router straight to upstreams."""

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
