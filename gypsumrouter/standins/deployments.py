"""The two example deployments: their sizes, workspaces, caller classes and rules."""

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
    """A workspace; `traffic` is its weight relative to the other workspaces."""

    name: str
    traffic: float = 1.0

    @property
    def key(self) -> str:
        """Return the API key of the workspace's callers, derived from its name; for tests only."""
        secret = hashlib.sha256(f"gypsumrouter test key of {self.name}".encode()).hexdigest()
        return f"test-{self.name}-{secret[:KEY_CHARACTERS]}"

    @property
    def key_digest(self) -> str:
        """Return the SHA-256 digest of the key, as the configuration stores it."""
        return hashlib.sha256(self.key.encode()).hexdigest()


class Deployment(Struct, frozen=True, kw_only=True):
    """The size and configuration of one installation.

    `data_centre_latency_ms` is the one-way latency between its data centres, and
    `client_latency_ms` the one-way latency to its callers. `interactive` lists the caller classes
    that are not batch classes, by decreasing share of the traffic.
    """

    name: str
    region: str
    data_centres: tuple[str, ...]
    data_centre_latency_ms: float
    client_latency_ms: float
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
        """Return the interactive classes and the batch class."""
        return (*self.interactive, REPORTS)

    def get_data_centre(self, index: int) -> str:
        """Return the data centre of the instance with this index, round robin."""
        return self.data_centres[index % len(self.data_centres)]


def chapin() -> Deployment:
    """Return the current deployment of Consorcio Uniformes Escolares Chapín."""
    return Deployment(
        name="chapin",
        region="gt-central",
        data_centres=("gt-central-a", "gt-central-b", "gt-central-c"),
        data_centre_latency_ms=1.5,
        client_latency_ms=1.0,
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
    """Return the current deployment of Kotlovnica Analitika d.o.o."""
    return Deployment(
        name="kotlovnica",
        region="hr-zagreb",
        data_centres=("hr-zagreb-a", "hr-zagreb-b", "hr-zagreb-c"),
        data_centre_latency_ms=0.5,
        client_latency_ms=3.0,
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
    """Return one configuration with the workspaces, pools and rules of all deployments.

    The default class is that of the first deployment.
    """
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
        WorkspacePlan(name=f"{name}-{index}", traffic=weight)
        for index, weight in enumerate(traffic, start=1)
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
