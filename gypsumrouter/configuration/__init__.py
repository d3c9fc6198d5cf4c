"""The fleet's configuration: the document, its check, the store that never goes back, its spread.

The spread is loaded when it is asked for: it knows the settings, which know the models here.
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
from gypsumrouter.configuration.outcomes import Accepted, Offer, Older, Rejected
from gypsumrouter.configuration.paths import collapse_path, is_ambiguous, normalise_path
from gypsumrouter.configuration.rule_checks import get_rule_kind
from gypsumrouter.configuration.slices import Sliced, async_run_sliced, run_sliced
from gypsumrouter.configuration.store import ConfigurationStore
from gypsumrouter.util.validation import Name

if TYPE_CHECKING:
    from gypsumrouter.configuration.source import ConfigurationSource, HttpConfigurationSource
    from gypsumrouter.configuration.spread import ConfigurationSpread

__all__ = [
    "Accepted",
    "AtMostOnce",
    "CallPattern",
    "CallerClass",
    "Configuration",
    "ConfigurationSource",
    "ConfigurationSpread",
    "ConfigurationStore",
    "HttpConfigurationSource",
    "Name",
    "Offer",
    "Older",
    "OpaqueKeys",
    "OrderCheck",
    "OrderedAdapter",
    "OrderedModel",
    "Pool",
    "PoolOrders",
    "Rejected",
    "Rule",
    "Sliced",
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

_LATE: Final = ("ConfigurationSource", "ConfigurationSpread", "HttpConfigurationSource")


def __getattr__(name: str) -> Any:
    if name not in _LATE:
        raise AttributeError(name)
    from gypsumrouter.configuration import source, spread

    return getattr(spread if hasattr(spread, name) else source, name)
