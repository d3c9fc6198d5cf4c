"""The soak of what is under way at stops: its checks, and a short run of one seed."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.soak_callers import CallRecord
from bench.soak_rig import ENV_KEY, KEY
from bench.soak_unfinished import (
    LARGE_BYTES,
    Upload,
    async_soak_unfinished,
    check_large,
    check_uploads,
)
from gypsumrouter.standins.runner_content import make_body

SEED = 1
PATH = "/lookup/r-1"


@pytest.mark.parametrize(
    ("sent_s", "ended_s", "status", "lost"),
    [
        (1.0, 6.0, 0, True),
        (1.0, 1.1, 0, False),
        (1.0, 6.0, 503, False),
        (0.0, 6.0, 0, False),
    ],
)
def test_upload_that_was_sent_whole_and_never_answered_is_found(
    sent_s: float, ended_s: float, status: int, lost: bool
) -> None:
    upload = Upload(request_id="r-1", sent_s=sent_s, ended_s=ended_s, status=status)
    assert bool(list(check_uploads([upload]))) == lost


def test_response_that_is_joined_from_two_upstreams_is_found() -> None:
    first, second = (make_body(f"{name} {PATH}", size=LARGE_BYTES) for name in ("i-1", "i-2"))

    def make_record(body: bytes, *, complete: bool = True) -> CallRecord:
        return CallRecord(
            request_id="r-1",
            kind="lookup",
            path=PATH,
            status=200,
            body=body,
            complete=complete,
            stamp="i-1.07",
        )

    half = LARGE_BYTES // 2
    assert not list(check_large([make_record(first)]))
    assert list(check_large([make_record(first[:half] + second)]))
    assert list(check_large([make_record(first[:half])]))
    assert not list(check_large([make_record(first[:half], complete=False)]))


async def test_short_run_keeps_what_is_under_way(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(ENV_KEY, KEY)
    figures, violations, _ = await async_soak_unfinished(seed=SEED, folder=tmp_path)
    assert violations == []
    counts = figures["faults"]
    assert isinstance(counts, dict)
    assert min(counts["stops"], counts["breaks"], counts["updates"]) > 0
