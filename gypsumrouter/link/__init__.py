"""Messages between processes: links, exchanges that survive them, notices."""

from __future__ import annotations

from gypsumrouter.link.answer import Answer
from gypsumrouter.link.exchange import Exchange
from gypsumrouter.link.models import (
    AnswerEvent,
    ConfigurationNews,
    Data,
    End,
    Head,
    Headers,
    Hello,
    Notice,
    Open,
    Parts,
    PartsRequest,
    PoolLoad,
    PrefixNews,
    Status,
    SuspectNews,
)
from gypsumrouter.link.notices import NoticeHub, Peer
from gypsumrouter.link.pool import LinkPool
from gypsumrouter.link.server import ExchangeHandler, LinkServer
from gypsumrouter.link.status import StatusView

__all__ = [
    "Answer",
    "AnswerEvent",
    "ConfigurationNews",
    "Data",
    "End",
    "Exchange",
    "ExchangeHandler",
    "Head",
    "Headers",
    "Hello",
    "LinkPool",
    "LinkServer",
    "Notice",
    "NoticeHub",
    "Open",
    "Parts",
    "PartsRequest",
    "Peer",
    "PoolLoad",
    "PrefixNews",
    "Status",
    "StatusView",
    "SuspectNews",
]
