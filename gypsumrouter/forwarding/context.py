"""What all requests of a forwarder share."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.core import Application
from gypsumrouter.crashes.guard import CrashGuard
from gypsumrouter.forwarding.budget import RetryBudget
from gypsumrouter.forwarding.connections import ConnectionPool
from gypsumrouter.forwarding.ends.disorders import StreamDisorders
from gypsumrouter.forwarding.ends.evidence import EndChecks
from gypsumrouter.forwarding.ends.relay_turns import RelayTurns
from gypsumrouter.forwarding.models import Dialect
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.request_contention import ContentionContext
from gypsumrouter.helpers.metrics import Counter
from gypsumrouter.journal import Journal
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.streams import StreamOrigins


class ForwardingContext(Struct, frozen=True, kw_only=True):
    """Components that all requests of a forwarder share; `without` are disabled mechanisms.

    `silences` counts attempts with a silent upstream, by what was awaited and the result,
    `disorders` has the upstreams whose runs did not go on behind others.
    """

    app: Application
    journal: Journal
    dialect: Dialect
    placer: Placer
    pool: ConnectionPool
    ends: EndChecks
    budget: RetryBudget
    suspects: CrashGuard
    streams: StreamOrigins
    silences: Counter
    disorders: StreamDisorders
    turns: RelayTurns
    contention: ContentionContext = ContentionContext()
    without: frozenset[Mechanism] = frozenset()
