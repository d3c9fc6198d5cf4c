"""Prompts that callers describe: false token counts must not fail a placement."""

from __future__ import annotations

import pytest
from aiohttp.test_utils import make_mocked_request

from gypsumrouter.forwarding.models import MAX_PROMPT_TOKENS, CallerRequest
from gypsumrouter.platform import names
from gypsumrouter.platform.requests import read_request

HUGE = "9" * 400


def read_prompt_parts(usage: str, parts: str) -> int | None:
    """Return the number of parts of a described prompt, None if it is not valid."""
    headers = {names.REQUEST_ID: "r", names.TOKEN_USAGE: usage, names.PREFIX_PARTS: parts}
    request = read_request(request=make_mocked_request("POST", "/m/1", headers=headers), body=b"")
    assert isinstance(request, CallerRequest)
    return None if request.prompt is None else len(request.prompt.parts)


def test_valid_prompt_is_read() -> None:
    assert read_prompt_parts("1460,80", "5c1e07a2:800,91bd3f06:410") == 2
    assert read_prompt_parts(f"{MAX_PROMPT_TOKENS},80", "1:1") == 1


@pytest.mark.parametrize(
    ("usage", "parts"),
    [
        (f"{HUGE},80", "1:800"),
        (f"1460,{HUGE}", "1:800"),
        ("1460,80", f"1:{HUGE}"),
        ("-1,80", "1:800"),
        ("1460,-80", "1:800"),
        ("1460,80", "1:-800"),
        (f"{MAX_PROMPT_TOKENS + 1},80", "1:800"),
    ],
)
def test_prompt_with_false_token_counts_is_ignored(usage: str, parts: str) -> None:
    """Guards against an OverflowError in the costs of a placement and in the fair shares."""
    assert read_prompt_parts(usage, parts) is None
