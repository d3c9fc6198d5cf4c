"""Load skew, latency targets and penalties while one workspace surges.

Every policy serves the same requests at the same times, with router and side processes and stand-in
engines. The baselines differ in placement, use a first-come queue and have no load cap.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Iterable
from typing import Final

import uvloop
from msgspec import Struct

from bench.both_deployments import add_common_options, async_run_deployments
from bench.planned_chats import PlannedChat, TurnResult, count_violations
from bench.policies import PRODUCT, BenchPolicy, list_baselines, select_policies
from bench.relay import get_percentile
from bench.report import Value, print_machine, print_result, print_table
from bench.skew import SkewSampler
from bench.stage import Stage, get_deployment, open_stage
from bench.surge_plan import STEP_MS, SurgeLoad, SurgePlanner, SurgeTimes
from bench.tally import Tally
from gypsumrouter.configuration.models import DEFAULT_CAP, DEFAULT_FLOOR, CallerClass
from gypsumrouter.standins import Deployment, EngineSettings
from gypsumrouter.standins.deployments import CLASS_REPORTS

ROUTERS: Final = 2
TRIES: Final = 6
CACHE_TOKENS: Final = 100_000
P99: Final = 99


class Outcome(Struct, frozen=True, kw_only=True):
    """Results of one policy."""

    policy: str
    results: list[TurnResult]
    sampler: SkewSampler
    tally: Tally


class Scenario(Struct, frozen=True, kw_only=True):
    """Load, identical for all policies of a run."""

    deployment: Deployment
    chats: tuple[PlannedChat, ...]
    times: SurgeTimes
    seed: int


def main(argv: list[str]) -> int:
    """Run the bench and return its exit code."""
    parser = argparse.ArgumentParser(prog="bench surge")
    add_common_options(parser)
    parser.add_argument("--calm-s", type=float, default=3.0)
    parser.add_argument("--surge-s", type=float, default=5.0)
    parser.add_argument("--after-s", type=float, default=5.0)
    parser.add_argument(
        "--steady", type=float, default=6.0, help="mean load of interactive requests"
    )
    parser.add_argument("--reports", type=float, default=1.0, help="mean load of reports")
    parser.add_argument(
        "--surge", type=float, default=14.0, help="additional mean load during the surge"
    )
    parser.add_argument(
        "--our-admission",
        action="store_true",
        help="use our queue and load cap for the baselines too",
    )
    options = parser.parse_args(argv)
    if options.deployment is None:
        return asyncio.run(async_run_deployments("surge", argv))
    print_machine()
    return uvloop.run(async_measure(options))


async def async_measure(options: argparse.Namespace) -> int:
    """Measure every policy at one deployment and print the figures."""
    deployment = get_deployment(options.deployment)
    times = SurgeTimes(calm_s=options.calm_s, surge_s=options.surge_s, after_s=options.after_s)
    # With a single interactive class the reports surge, otherwise the interactive classes do.
    surging_class = CLASS_REPORTS if len(deployment.interactive) == 1 else None
    planner = SurgePlanner(
        deployment=deployment, times=times, surging_class=surging_class, seed=options.seed
    )
    load = SurgeLoad(steady=options.steady, reports=options.reports, surge=options.surge)
    scenario = Scenario(
        deployment=deployment, chats=planner.plan(load), times=times, seed=options.seed
    )
    baselines = list_baselines(fifo=not options.our_admission)
    policies = select_policies([PRODUCT, *baselines], options.policies)
    outcomes = [await async_measure_policy(policy, scenario) for policy in policies]
    report(scenario, outcomes)
    return 0


async def async_measure_policy(policy: BenchPolicy, scenario: Scenario) -> Outcome:
    """Run one policy through the surge."""
    engine = EngineSettings(step_ms=STEP_MS, step_ms_per_sequence=0.0, cache_tokens=CACHE_TOKENS)
    async with open_stage(
        deployment=scenario.deployment, policy=policy, engine=engine, routers=ROUTERS, tries=TRIES
    ) as stage:
        engines = tuple(stage.platform.engines.values())
        sampler = SkewSampler(engines=engines, floor=DEFAULT_FLOOR)
        sampling = asyncio.create_task(sampler.async_run(stage.clock))
        ending = asyncio.create_task(async_end_arrivals(stage, sampler, scenario))
        await stage.async_play(scenario.chats, seed=scenario.seed, stream=True)
        for task in (sampling, ending):
            task.cancel()
        await asyncio.gather(sampling, ending, return_exceptions=True)
        return Outcome(
            policy=policy.name, results=stage.play.results, sampler=sampler, tally=stage.tally
        )


async def async_end_arrivals(stage: Stage, sampler: SkewSampler, scenario: Scenario) -> None:
    """Notify the sampler at the time of the last arrival."""
    last_ms = max(turn.at_ms for chat in scenario.chats for turn in chat.turns)
    await stage.clock.async_sleep(last_ms)
    sampler.end_arrivals()


def is_met(result: TurnResult, caller_class: CallerClass) -> bool:
    """Return whether a request met both latency targets of its class."""
    return (
        result.served
        and result.first_ms <= caller_class.first_token_ms
        and result.answer_ms <= caller_class.answer_ms
    )


def get_met_share(results: Iterable[TurnResult], caller_class: CallerClass) -> float:
    """Return the share of a class's requests that met their targets."""
    own = [item for item in results if item.account.caller_class == caller_class.name]
    return sum(is_met(item, caller_class) for item in own) / max(1, len(own))


def sum_penalty(results: Iterable[TurnResult], classes: tuple[CallerClass, ...]) -> float:
    """Return the total penalty of all requests that missed a target."""
    by_name = {item.name: item for item in classes}
    missed = [item for item in results if not is_met(item, by_name[item.account.caller_class])]
    return sum(by_name[item.account.caller_class].penalty for item in missed)


def report(scenario: Scenario, outcomes: list[Outcome]) -> None:
    """Print the table and the figures."""
    deployment, times = scenario.deployment, scenario.times
    classes = deployment.classes
    figures: dict[str, dict[str, Value]] = {
        name: {}
        for name in (
            "max_over_mean_p99",
            "max_over_mean_max",
            "over_cap_share",
            "max_over_mean_max_in_drain",
            "refused_share",
            "not_served_share",
            "penalty",
            "target_met",
            "target_met_in_surge",
            "lost_or_wrong",
            "bench_late_ms_p99",
        )
    }
    rows: list[list[object]] = []
    for outcome in outcomes:
        results, ratios = outcome.results, outcome.sampler.ratios
        surge = [item for item in results if times.is_surge(item.at_ms)]
        met: dict[str, Value] = {
            item.name: round(get_met_share(results, item), 4) for item in classes
        }
        row: dict[str, Value] = {
            "max_over_mean_p99": round(get_percentile(ratios, P99), 3),
            "max_over_mean_max": round(max(ratios, default=0.0), 3),
            "over_cap_share": round(outcome.sampler.get_share_above(DEFAULT_CAP), 4),
            "max_over_mean_max_in_drain": round(max(outcome.sampler.drain_ratios, default=0.0), 3),
            "refused_share": round(
                sum(item.refused for item in results) / max(1, outcome.tally.tries), 4
            ),
            "not_served_share": round(
                sum(not item.served for item in results) / max(1, len(results)), 4
            ),
            "penalty": round(sum_penalty(results, classes), 1),
            "target_met": met,
            "target_met_in_surge": {
                item.name: round(get_met_share(surge, item), 4) for item in classes
            },
            "lost_or_wrong": sum(count_violations(outcome.tally).values()),
            "bench_late_ms_p99": round(get_percentile(outcome.sampler.late_ms, P99), 1),
        }
        for name, value in row.items():
            figures[name][outcome.policy] = value
        shares = " ".join(f"{item.name} {met[item.name]}" for item in classes)
        rows.append(
            [
                outcome.policy,
                *(row[name] for name in list(row)[:7]),
                shares,
                row["lost_or_wrong"],
                row["bench_late_ms_p99"],
            ]
        )
    print_table(
        title=(
            f"surge, {deployment.name}: {deployment.engines} engines, {ROUTERS} routers, "
            f"{sum(len(chat.turns) for chat in scenario.chats)} requests; "
            f"{deployment.workspaces[0].name} surges"
        ),
        columns=(
            "policy",
            "max/mean p99",
            "max",
            "over cap",
            "max in drain",
            "tries refused",
            "not served",
            "penalty",
            "targets met",
            "lost or wrong",
            "bench late p99 ms",
        ),
        rows=rows,
    )
    result: dict[str, Value] = dict(figures)
    result |= {"cap": DEFAULT_CAP, "floor_engines": DEFAULT_FLOOR, "engines": deployment.engines}
    print_result(result)
