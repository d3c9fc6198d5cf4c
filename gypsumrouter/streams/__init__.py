"""Origins of streams: the software version at which a stream began, known across routers."""

from __future__ import annotations

from gypsumrouter.streams.models import (
    Known,
    OneVersion,
    OriginView,
    SeveralVersions,
    StreamOrigin,
    Unproven,
    decide_origin,
    make_origin_digest,
    make_stream_digest,
)
from gypsumrouter.streams.origins import PeerOrigins, StreamOrigins
from gypsumrouter.streams.versions import VersionHistory

__all__ = [
    "Known",
    "OneVersion",
    "OriginView",
    "PeerOrigins",
    "SeveralVersions",
    "StreamOrigin",
    "StreamOrigins",
    "Unproven",
    "VersionHistory",
    "decide_origin",
    "make_origin_digest",
    "make_stream_digest",
]
