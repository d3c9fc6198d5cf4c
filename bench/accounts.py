"""Accounts of callers in benches and the demo."""

from __future__ import annotations

import random
from typing import Final

from msgspec import Struct

from gypsumrouter.const import HEADER_CLASS
from gypsumrouter.standins.deployments import CLASS_REPORTS, Deployment

DEFAULT_REPORTS_SHARE: Final = 0.2


class Account(Struct, frozen=True, kw_only=True):
    """Workspace, API key and class of a caller."""

    workspace: str
    key: str
    caller_class: str

    def make_headers(self) -> dict[str, str]:
        """Return the request headers with the key and the class."""
        return {"Authorization": f"Bearer {self.key}", HEADER_CLASS: self.caller_class}


def choose_accounts(
    deployment: Deployment, *, count: int, seed: int, reports_share: float = DEFAULT_REPORTS_SHARE
) -> list[Account]:
    """Return random accounts, weighted by workspace traffic; a share is of the reports class."""
    randomness = random.Random(seed)
    plans = deployment.workspaces
    chosen = randomness.choices(plans, weights=[plan.traffic for plan in plans], k=count)
    names = [item.name for item in deployment.interactive]
    return [
        Account(
            workspace=plan.name,
            key=plan.key,
            caller_class=(
                CLASS_REPORTS if randomness.random() < reports_share else randomness.choice(names)
            ),
        )
        for plan in chosen
    ]
