"""Placement policies compared by benchmarks: that of the product and the baselines."""

from __future__ import annotations

from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from gypsumrouter.configuration.models import Configuration
from gypsumrouter.placement import PlacementKind

NO_CAP: Final = 1_000.0
NO_TARGET_MS: Final = 600_000
NO_QUEUE_LIMIT: Final = 4_096


class BenchPolicy(Struct, frozen=True, kw_only=True):
    """How requests are placed and admitted in one run.

    `sends_hint`: callers return the placement hint of the last answer. `fifo`: sides serve requests
    in order of arrival, without a cap on their load.
    """

    name: str
    placement: PlacementKind
    sends_hint: bool = False
    fifo: bool = False

    def adapt(self, configuration: Configuration) -> Configuration:
        """Return the configuration with which this policy runs."""
        return make_fifo(configuration) if self.fifo else configuration


PRODUCT: Final = BenchPolicy(name="ours", placement=PlacementKind.RENDEZVOUS)
PRODUCT_WITH_HINT: Final = BenchPolicy(
    name="ours_with_hint", placement=PlacementKind.RENDEZVOUS, sends_hint=True
)
BASELINE_KINDS: Final = tuple(
    kind for kind in PlacementKind if kind is not PlacementKind.RENDEZVOUS
)


def list_baselines(*, fifo: bool) -> list[BenchPolicy]:
    """Return every baseline, with the admission of the product or in FIFO order."""
    return [BenchPolicy(name=kind.value, placement=kind, fifo=fifo) for kind in BASELINE_KINDS]


def select_policies(policies: list[BenchPolicy], names: list[str] | None) -> list[BenchPolicy]:
    """Return the policies with these names, or all if `names` is None."""
    return [policy for policy in policies if names is None or policy.name in names]


def make_fifo(configuration: Configuration) -> Configuration:
    """Return a configuration with which sides serve in FIFO order, without a cap.

    Identical classes, distant targets and equal shares leave only the arrival time to order by.
    """
    classes = tuple(
        replace(item, first_token_ms=NO_TARGET_MS, answer_ms=NO_TARGET_MS, penalty=1.0, batch=False)
        for item in configuration.classes
    )
    pools = tuple(replace(pool, cap=NO_CAP, queue=NO_QUEUE_LIMIT) for pool in configuration.pools)
    workspaces = tuple(replace(item, share=1.0) for item in configuration.workspaces)
    return replace(configuration, classes=classes, pools=pools, workspaces=workspaces)
