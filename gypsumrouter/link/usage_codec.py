"""Encodes and decodes the summary of workspaces' work in the updates between routers."""

from __future__ import annotations

from itertools import islice
from typing import Any, Final

from gypsumrouter.link.router_models import (
    WorkspaceUsage,
    WorkspaceWork,
)
from gypsumrouter.link.schema import write_list

# A valid summary has at most 8 entries (`contention.MAX_ENTRIES`). One more is decoded, so that the
# receiver can tell a longer one, and no further ones, whose names could fill the message.
MAX_DECODED_ENTRIES: Final = 9


def set_usage(message: Any, usage: WorkspaceUsage | None) -> None:
    """Set the `usage` field of a message unless `usage` is None."""
    if usage is None:
        return
    target = message.init("usage")
    target.total = usage.total
    target.served = usage.served
    write_list(target, "entries", usage.entries, _write_work)


def _write_work(target: Any, work: WorkspaceWork) -> None:
    target.name = work.name
    target.work = work.work
    target.sent = work.sent


def read_usage(message: Any) -> WorkspaceUsage | None:
    """Return the `usage` field of a message, or None if it is not set."""
    if not message._has("usage"):
        return None
    usage = message.usage
    return WorkspaceUsage(
        entries=tuple(
            WorkspaceWork(name=entry.name, work=entry.work, sent=entry.sent)
            for entry in islice(usage.entries, MAX_DECODED_ENTRIES)
        ),
        total=usage.total,
        served=usage.served,
    )
