"""Messages between processes: links, exchanges that survive them, notices."""

from __future__ import annotations

from gypsumrouter.link.answer import Answer
from gypsumrouter.link.exchange import Exchange
from gypsumrouter.link.models import (
    AnswerEvent,
    CatchUp,
    ConfigurationNews,
    Data,
    End,
    Head,
    Headers,
    HeldAt,
    HeldNews,
    HeldWanted,
    Hello,
    ListedUpstream,
    ListedUpstreams,
    Notice,
    Open,
    Parts,
    PartsRequest,
    PlacedPart,
    PoolLoad,
    PrefixNews,
    RouterLoad,
    RouterNews,
    RoutingDocument,
    Status,
    StoreWatched,
    Strike,
    SuspectNews,
)
from gypsumrouter.link.notices import NoticeHub, Peer
from gypsumrouter.link.pool import LinkPool
from gypsumrouter.link.server import ExchangeHandler, LinkServer
from gypsumrouter.link.status import StatusView

__all__ = [
    "Answer",
    "AnswerEvent",
    "CatchUp",
    "ConfigurationNews",
    "Data",
    "End",
    "Exchange",
    "ExchangeHandler",
    "Head",
    "Headers",
    "HeldAt",
    "HeldNews",
    "HeldWanted",
    "Hello",
    "LinkPool",
    "LinkServer",
    "ListedUpstream",
    "ListedUpstreams",
    "Notice",
    "NoticeHub",
    "Open",
    "Parts",
    "PartsRequest",
    "Peer",
    "PlacedPart",
    "PoolLoad",
    "PrefixNews",
    "RouterLoad",
    "RouterNews",
    "RoutingDocument",
    "Status",
    "StatusView",
    "StoreWatched",
    "Strike",
    "SuspectNews",
]
