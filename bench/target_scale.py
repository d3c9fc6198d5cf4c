"""Target scale of a fleet ("two-year" in result keys), and figures derived from it."""

from __future__ import annotations

from typing import Final

from msgspec.structs import replace

from gypsumrouter.configuration.models import (
    CallerClass,
    Configuration,
    Pool,
    Rule,
    Then,
    When,
    Workspace,
)
from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.standins import Deployment, WorkspacePlan, kotlovnica

ROUTERS: Final = 330
SIDES: Final = 930
PROCESSES: Final = ROUTERS + SIDES
REQUESTS_S: Final = 20_000
TOKENS_S: Final = 4_400_000
GAP_MS: Final = 28
WORKSPACES: Final = 9_500
CHATS: Final = 6_700_000
REGIONS: Final = 3
DATA_CENTRES: Final = 9
CHANGES_PER_DAY: Final = 3_500
FAILURES_PER_DAY: Final = 11
REPLACED_PER_DAY: Final = 82

CORE_SHARE_MAX: Final = 0.043
CONTROL_RSS_MB_MAX: Final = 64
CONTROL_BYTES_S_MAX: Final = 6_144

TOKENS_PER_REQUEST: Final = TOKENS_S // REQUESTS_S
ANSWER_MS: Final = TOKENS_PER_REQUEST * GAP_MS
STREAMS: Final = REQUESTS_S * ANSWER_MS / 1_000
STREAMS_PER_PAIR: Final = STREAMS / ROUTERS / SIDES
REQUESTS_S_PER_PAIR: Final = REQUESTS_S / ROUTERS / SIDES

# A replaced instance drains, is removed and is added under another name; a failed one is removed
# and added again.
LIST_CHANGES_PER_DAY: Final = 3 * REPLACED_PER_DAY + 2 * FAILURES_PER_DAY

Location = tuple[str, str, str]

UNLIMITED_SLOTS: Final = 4_096
FEW_WORKSPACES: Final = 10


def list_locations(role: Role, count: int, *, regions: int) -> list[Location]:
    """Return instance names with data centre and region, distributed round robin."""
    own = kotlovnica().region
    names = [own, *(f"region-{number}" for number in range(2, regions + 1))]
    centres = DATA_CENTRES // regions
    return [
        (
            f"light-{role}-{index:04}",
            f"{names[index % regions]}-{index // regions % centres}",
            names[index % regions],
        )
        for index in range(count)
    ]


def make_deployment() -> Deployment:
    """Return a deployment without engines; benchmarks start their own."""
    return replace(kotlovnica(), engines=0, services=0)


def make_configuration(
    deployment: Deployment, *, version: int, workspaces: int, changed: int = 0
) -> Configuration:
    """Return a configuration with a pool limit that benchmarks do not reach.

    `changed` selects a workspace and its new share; 0 changes none.
    """
    plans = list(deployment.workspaces)
    plans += [WorkspacePlan(name=f"office-{n:05}") for n in range(workspaces - len(plans))]
    entries = [_make_workspace(plan) for plan in plans]
    if changed:
        index = changed * 7919 % len(entries)
        entries[index] = replace(entries[index], share=1.0 + changed / 100)
    return Configuration(
        version=version,
        workspaces=tuple(entries),
        classes=deployment.classes,
        pools=(make_pool(deployment),),
        rules=(
            Rule(
                name="chats",
                when=When(model=(deployment.model,)),
                then=Then(pool=deployment.engine_pool),
            ),
        ),
        default_class=get_class(deployment).name,
    )


def make_pool(deployment: Deployment) -> Pool:
    """Return a pool with a limit that benchmarks do not reach."""
    return Pool(
        name=deployment.engine_pool,
        kind=UpstreamKind.ENGINE,
        models=(deployment.model,),
        slots=UNLIMITED_SLOTS,
        floor=UNLIMITED_SLOTS,
    )


def get_class(deployment: Deployment) -> CallerClass:
    """Return the class used for callers."""
    return deployment.interactive[0]


def _make_workspace(plan: WorkspacePlan) -> Workspace:
    return Workspace(name=plan.name, key_digests=(plan.key_digest,), share=plan.traffic)
