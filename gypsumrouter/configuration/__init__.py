"""The fleet's configuration: document model, validation, versioned store and replication.

The replicator and the sources are imported lazily: they depend on the settings, which import the
models of this package.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from gypsumrouter.configuration.check import check_configuration
from gypsumrouter.configuration.conditions import is_in_window, normalise_prefix
from gypsumrouter.configuration.models import (
    AtMostOnce,
    CallerClass,
    CallPattern,
    Configuration,
    OpaqueKeys,
    OrderCheck,
    OrderedAdapter,
    OrderedModel,
    Pool,
    PoolOrders,
    Rule,
    Then,
    When,
    Workspace,
)
from gypsumrouter.configuration.outcomes import Accepted, OfferOutcome, Rejected, Stale
from gypsumrouter.configuration.paths import collapse_path, is_ambiguous, normalise_path
from gypsumrouter.configuration.rule_checks import get_rule_kind
from gypsumrouter.configuration.slices import Sliced, async_run_sliced, run_sliced
from gypsumrouter.configuration.store import ConfigurationStore
from gypsumrouter.util.validation import Name

if TYPE_CHECKING:
    from gypsumrouter.configuration.replicator import ConfigurationReplicator
    from gypsumrouter.configuration.source import ConfigurationSource, HttpConfigurationSource

__all__ = [
    "Accepted",
    "AtMostOnce",
    "CallPattern",
    "CallerClass",
    "Configuration",
    "ConfigurationReplicator",
    "ConfigurationSource",
    "ConfigurationStore",
    "HttpConfigurationSource",
    "Name",
    "OfferOutcome",
    "OpaqueKeys",
    "OrderCheck",
    "OrderedAdapter",
    "OrderedModel",
    "Pool",
    "PoolOrders",
    "Rejected",
    "Rule",
    "Sliced",
    "Stale",
    "Then",
    "When",
    "Workspace",
    "async_run_sliced",
    "check_configuration",
    "collapse_path",
    "get_rule_kind",
    "is_ambiguous",
    "is_in_window",
    "normalise_path",
    "normalise_prefix",
    "run_sliced",
]

_LAZY_IMPORTS: Final = ("ConfigurationSource", "ConfigurationReplicator", "HttpConfigurationSource")


def __getattr__(name: str) -> Any:
    if name not in _LAZY_IMPORTS:
        raise AttributeError(name)
    from gypsumrouter.configuration import replicator, source

    return getattr(replicator if hasattr(replicator, name) else source, name)
