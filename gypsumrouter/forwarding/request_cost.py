"""Estimates the upstream work of a request on arrival, for the fair shares of workspaces."""

from __future__ import annotations

from typing import Final

from gypsumrouter.forwarding.models import Prompt

# Work of a request without a prompt, in prompt tokens. A plain upstream with 6 slots works 7 to
# 15 ms on one, in which an engine prefills 600 to 1,000 tokens.
PLAIN_TOKENS: Final = 800.0
# Prompt tokens that an engine prefills in the time of one output token: a decode step of 3.8 ms is
# shared by up to 64 requests, and 70 to 80 prompt tokens take 1 ms.
TOKENS_PER_OUTPUT_TOKEN: Final = 4.0


def estimate_cost(prompt: Prompt | None) -> float:
    """Return the work of a request in prompt tokens, without regard to cached parts."""
    if prompt is None:
        return PLAIN_TOKENS
    return prompt.input_tokens + TOKENS_PER_OUTPUT_TOKEN * prompt.max_output_tokens
