"""Origins of streams: the software version at which a stream began, known across routers."""

from __future__ import annotations

from gypsumrouter.streams.models import (
    Doubt,
    Known,
    OneVersion,
    OriginDecision,
    OriginView,
    Replies,
    SeveralVersions,
    StreamOrigin,
    Unproven,
    Voice,
    decide_origin,
    make_origin_digest,
    make_stream_digest,
)
from gypsumrouter.streams.origins import PeerOrigins, StreamOrigins
from gypsumrouter.streams.versions import VersionHistory

__all__ = [
    "Doubt",
    "Known",
    "OneVersion",
    "OriginDecision",
    "OriginView",
    "PeerOrigins",
    "Replies",
    "SeveralVersions",
    "StreamOrigin",
    "StreamOrigins",
    "Unproven",
    "VersionHistory",
    "Voice",
    "decide_origin",
    "make_origin_digest",
    "make_stream_digest",
]
