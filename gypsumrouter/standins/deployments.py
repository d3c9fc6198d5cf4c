"""The two deployments that the stand-ins are sized for: their workspaces, classes and rules."""

from __future__ import annotations

import hashlib
from typing import Final

from msgspec import Struct

from gypsumrouter.configuration.models import (
    AtMostOnce,
    CallerClass,
    CallPattern,
    Configuration,
    Pool,
    Rule,
    Then,
    When,
    Workspace,
)
from gypsumrouter.const import UpstreamKind

CLASS_DIRECTOR: Final = "director"
CLASS_PARENT: Final = "parent"
CLASS_INSPECTOR: Final = "inspector"
CLASS_REPORTS: Final = "office-reports"
KEY_CHARACTERS: Final = 32

REPORTS: Final = CallerClass(
    name=CLASS_REPORTS, first_token_ms=10_000, answer_ms=120_000, penalty=0.5, batch=True
)


class WorkspacePlan(Struct, frozen=True, kw_only=True):
    """A workspace and its part of the traffic, relative to the others."""

    name: str
    traffic: float = 1.0

    @property
    def key(self) -> str:
        """Return the callers' key: a fixed one, for tests only."""
        secret = hashlib.sha256(f"gypsumrouter test key of {self.name}".encode()).hexdigest()
        return f"test-{self.name}-{secret[:KEY_CHARACTERS]}"

    @property
    def key_digest(self) -> str:
        """Return what the configuration holds of the key."""
        return hashlib.sha256(self.key.encode()).hexdigest()


class Deployment(Struct, frozen=True, kw_only=True):
    """One user's installation.

    `between_ms` is the one-way time between its data centres, `client_ms` that to its callers.
    `interactive` are the classes of callers that wait for an answer, in falling share.
    """

    name: str
    region: str
    data_centres: tuple[str, ...]
    between_ms: float
    client_ms: float
    model: str
    engine_pool: str
    engines: int
    service_pool: str
    services: int
    at_most_once: tuple[str, ...]
    workspaces: tuple[WorkspacePlan, ...]
    interactive: tuple[CallerClass, ...]

    @property
    def classes(self) -> tuple[CallerClass, ...]:
        """Return the interactive classes and the reports."""
        return (*self.interactive, REPORTS)

    def get_data_centre(self, index: int) -> str:
        """Return where the instance with a running number stands."""
        return self.data_centres[index % len(self.data_centres)]


def chapin() -> Deployment:
    """Return the size of today of Consorcio Uniformes Escolares Chapín."""
    return Deployment(
        name="chapin",
        region="gt-central",
        data_centres=("gt-central-a", "gt-central-b", "gt-central-c"),
        between_ms=1.5,
        client_ms=1.0,
        model="sizing-chat",
        engine_pool="chapin-models",
        engines=6,
        service_pool="dispatch",
        services=3,
        at_most_once=("/reservations",),
        workspaces=_make_workspaces("school-district", large=(12.0, 8.0, 5.0), small=7),
        interactive=(
            CallerClass(name=CLASS_DIRECTOR, first_token_ms=330, answer_ms=30_000, penalty=8.0),
            CallerClass(name=CLASS_PARENT, first_token_ms=1_000, answer_ms=60_000, penalty=1.0),
        ),
    )


def kotlovnica() -> Deployment:
    """Return the size of today of Kotlovnica Analitika d.o.o."""
    return Deployment(
        name="kotlovnica",
        region="hr-zagreb",
        data_centres=("hr-zagreb-a", "hr-zagreb-b", "hr-zagreb-c"),
        between_ms=0.5,
        client_ms=3.0,
        model="inspection-chat",
        engine_pool="kotlovnica-models",
        engines=9,
        service_pool="records",
        services=3,
        at_most_once=("/defects", "/signoffs"),
        workspaces=_make_workspaces("utility", large=(15.0, 6.0), small=8),
        interactive=(
            CallerClass(name=CLASS_INSPECTOR, first_token_ms=330, answer_ms=30_000, penalty=20.0),
        ),
    )


def make_configuration(*deployments: Deployment, version: int) -> Configuration:
    """Return the configuration that holds for some deployments together."""
    classes = {item.name: item for deployment in deployments for item in deployment.classes}
    return Configuration(
        version=version,
        workspaces=tuple(
            _make_workspace(deployment, plan)
            for deployment in deployments
            for plan in deployment.workspaces
        ),
        classes=tuple(classes.values()),
        pools=tuple(pool for deployment in deployments for pool in _make_pools(deployment)),
        rules=tuple(rule for deployment in deployments for rule in _make_rules(deployment)),
        default_class=deployments[0].interactive[0].name,
    )


def _make_workspaces(
    name: str, *, large: tuple[float, ...], small: int
) -> tuple[WorkspacePlan, ...]:
    traffic = (*large, *(1.0 for _ in range(small)))
    return tuple(
        WorkspacePlan(name=f"{name}-{index}", traffic=part)
        for index, part in enumerate(traffic, start=1)
    )


def _make_workspace(deployment: Deployment, plan: WorkspacePlan) -> Workspace:
    return Workspace(
        name=plan.name,
        key_digests=(plan.key_digest,),
        share=plan.traffic,
        default_class=deployment.interactive[0].name,
    )


def _make_pools(deployment: Deployment) -> tuple[Pool, ...]:
    calls = tuple(CallPattern(method="POST", path_prefix=path) for path in deployment.at_most_once)
    return (
        Pool(name=deployment.engine_pool, kind=UpstreamKind.ENGINE, models=(deployment.model,)),
        Pool(
            name=deployment.service_pool,
            kind=UpstreamKind.SERVICE,
            at_most_once=AtMostOnce(calls=calls),
        ),
    )


def _make_rules(deployment: Deployment) -> tuple[Rule, ...]:
    return (
        Rule(
            name=f"{deployment.name}-chats",
            when=When(model=(deployment.model,)),
            then=Then(pool=deployment.engine_pool),
        ),
        Rule(
            name=f"{deployment.name}-calls",
            when=When(service=(deployment.service_pool,)),
            then=Then(pool=deployment.service_pool),
        ),
    )
