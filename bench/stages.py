"""Stages of the full-size measurement, and the resource usage of router and side in each."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from bench.ledger import AverageUsage

STAGE_BASE: Final = "base"
STAGE_LIST: Final = "list"
STAGE_LIST_CHANGES: Final = "list changes"
STAGE_CONFIGURATION: Final = "configuration"
STAGE_LINKS: Final = "links"
STAGE_STATUSES: Final = "statuses"
STAGE_HOLD: Final = "held"
STAGE_LOAD: Final = "load"


class FullSize(Struct, kw_only=True):
    """Resource usage of the router and the side by stage; each stage adds load to the previous."""

    router: dict[str, AverageUsage] = field(default_factory=dict)
    side: dict[str, AverageUsage] = field(default_factory=dict)
    list_change_bytes: float = 0.0
    document_bytes: int = 0
    side_status_bytes_s: float = 0.0
    handshake_bytes: float = 0.0
    status_frame_bytes: float = 0.0
    load_requests_s: float = 0.0
    load_tokens_s: float = 0.0
    whole: int = 0
    broken: int = 0
