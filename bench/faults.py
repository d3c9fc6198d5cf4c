"""Run router and side processes under seeded faults, two at a time, and count violations."""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import shutil
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, Final

import aiohttp
import uvloop
from msgspec import Struct
from msgspec.structs import replace

from bench.accounts import Account, choose_accounts
from bench.faults_callers import (
    MAX_TRIES,
    TIMEOUT_S,
    FaultAccount,
    FaultCallCaller,
    FaultChatCaller,
    FaultContext,
    FaultOpaqueCaller,
)
from bench.faults_journal import Journal
from bench.faults_probes import ProbeResult, async_probe_silent_connections
from bench.faults_report import Findings, report
from bench.faults_requests import CRASH_MARKER
from bench.faults_rig import SplitPlatform, SplitRig
from bench.faults_schedule import Schedule
from bench.faults_stage import Stage
from bench.load import ChatShape
from bench.report import print_machine
from bench.rig import Sections
from bench.tally import Tally
from gypsumrouter.const import MS_PER_S
from gypsumrouter.helpers.connector import ShieldedConnector
from gypsumrouter.standins import Deployment, EngineSettings, chapin, kotlovnica
from gypsumrouter.util.clock import SystemClock

DEFAULT_SEEDS: Final = 6
DEFAULT_CALLS: Final = 2_400
DEFAULT_SECONDS: Final = 14.0
DEFAULT_QUIET_S: Final = 8.0
FIRST_SEED: Final = 7_000

ROUTERS: Final = 4
CALL_CALLERS: Final = 28
OPAQUE_KEY_EVERY: Final = 7
CHAT_CALLERS: Final = 24
CHAT_SHAPE: Final = ChatShape(turns=4, first_bytes=800, turn_bytes=150, think_ms=250)
LONG_CHAT_SHAPE: Final = ChatShape(turns=2, first_bytes=800, min_tokens=150, max_tokens=400)
LONG_CHAT_EVERY: Final = 6

LIST_LEASE_MS: Final = 2_000
CLOCK_SKEW_MS: Final = 20
LIST_POLL_MS: Final = 200
SERVICE_DELAY_MS: Final = 20
SETTLE_MS: Final = 2_000
EXTRA_SETTINGS: Final[Sections] = {
    "platform": {
        "list_lease_ms": LIST_LEASE_MS,
        "clock_skew_ms": CLOCK_SKEW_MS,
        "list_poll_ms": LIST_POLL_MS,
    },
}


class Options(Struct, frozen=True, kw_only=True):
    """Size of a run; `seconds` is the duration of one seed, `calls` the total of all seeds."""

    seeds: int
    calls: int
    seconds: float
    quiet_s: float
    first_seed: int
    window_ms: int | None
    logs: Path | None


def main(argv: list[str]) -> int:
    """Run the bench; the last line of the output is a JSON object with the figures."""
    parser = argparse.ArgumentParser(prog="python -m bench faults", description=__doc__)
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    parser.add_argument("--calls", type=int, default=DEFAULT_CALLS)
    parser.add_argument(
        "--seconds", type=float, default=DEFAULT_SECONDS, help="duration of one seed"
    )
    parser.add_argument(
        "--quiet", type=float, default=DEFAULT_QUIET_S, help="seconds of the phase without faults"
    )
    parser.add_argument("--first-seed", type=int, default=FIRST_SEED)
    parser.add_argument(
        "--window",
        type=float,
        help="at-most-once window in seconds, by default that of the configuration",
    )
    parser.add_argument("--logs", type=Path, help="folder to copy the logs of all processes to")
    arguments = parser.parse_args(argv)
    logging.basicConfig(level=logging.WARNING)
    # Stand-ins log an error for each write to a connection that a fault has closed.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    options = Options(
        seeds=arguments.seeds,
        calls=arguments.calls,
        seconds=arguments.seconds,
        quiet_s=arguments.quiet_journal,
        first_seed=arguments.first_seed,
        window_ms=None if arguments.window is None else round(arguments.window * MS_PER_S),
        logs=arguments.logs,
    )
    print_machine()
    print(
        f"list_lease_ms {LIST_LEASE_MS}, clock_skew_ms {CLOCK_SKEW_MS}, "
        f"list_poll_ms {LIST_POLL_MS}; other settings at their defaults"
    )
    uvloop.run(async_run(options))
    return 0


async def async_run(options: Options) -> None:
    """Start the fleet, run all phases and print the report."""
    clock = SystemClock()
    platform = SplitPlatform(
        clock=clock,
        deployments=(kotlovnica(), chapin()),
        engine_settings=EngineSettings(crash_marker=CRASH_MARKER),
        service_delay_ms=SERVICE_DELAY_MS,
    )
    await platform.async_start()
    rig = SplitRig(platform=platform, extra=EXTRA_SETTINGS)
    try:
        await rig.async_start(routers=ROUTERS)
        async with aiohttp.ClientSession(connector=ShieldedConnector(limit=0)) as session:
            stage = make_stage(rig, session, options)
            stage.publish()
            await async_play(stage, options)
    finally:
        if options.logs is not None:
            options.logs.mkdir(parents=True, exist_ok=True)
            for file in rig.folder.glob("*.log"):
                shutil.copy(file, options.logs)
        await rig.async_stop()


def make_stage(rig: SplitRig, session: aiohttp.ClientSession, options: Options) -> Stage:
    """Return the stage for a running rig."""
    clock = SystemClock()
    journal = Journal(clock=clock)
    routers = rig.list_callers()
    context = FaultContext(
        session=session,
        routers=routers,
        tally=Tally(),
        clock=clock,
        tries=MAX_TRIES,
        timeout_s=TIMEOUT_S,
        journal=journal,
    )
    return Stage(
        rig=rig,
        context=context,
        journal=journal,
        clock=clock,
        routers=routers,
        next_router=ROUTERS,
        window_ms=options.window_ms,
    )


async def async_play(stage: Stage, options: Options) -> None:
    """Probe silent connections, run a phase without faults, run every seed and report."""
    await stage.clock.async_sleep(LIST_LEASE_MS + SETTLE_MS)
    probe_results = await async_probe_silent_connections(stage)
    quiet_journal = Journal(clock=stage.clock)
    quiet_context = replace(stage.context, journal=quiet_journal, tally=Tally())
    calls_per_s = options.calls / options.seeds / options.seconds
    budget = CallBudget(calls=round(calls_per_s * options.quiet_s))
    await async_call(
        quiet_context, stage, seed=options.first_seed - 1, budget=budget, calls_per_s=calls_per_s
    )
    counts: Counter[str] = Counter()
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        await async_play_seed(stage, options, seed, counts)
    await stage.clock.async_sleep(SETTLE_MS)
    report(make_findings(stage, options, quiet_context, probe_results))


def make_findings(
    stage: Stage, options: Options, quiet_context: FaultContext, probe_results: list[ProbeResult]
) -> Findings:
    """Return the findings of the run."""
    return Findings(
        seeds=options.seeds,
        stage=stage,
        tallies=(stage.context.tally, quiet_context.tally),
        quiet_journal=quiet_context.journal,
        probe_results=probe_results,
    )


async def async_play_seed(stage: Stage, options: Options, seed: int, counts: Counter[str]) -> None:
    """Make the calls of one seed under its fault schedule, then wait for recovery."""
    calls = -(-options.calls // options.seeds)
    schedule = Schedule(stage=stage, seed=seed, counts=counts)
    faults = asyncio.create_task(schedule.async_run())
    budget = CallBudget(calls=calls, faults=faults)
    stop = asyncio.get_running_loop().call_later(options.seconds, schedule.stop)
    try:
        await async_call(
            stage.context, stage, seed=seed, budget=budget, calls_per_s=calls / options.seconds
        )
    finally:
        stop.cancel()
        schedule.stop()
        await faults
    await stage.rig.async_wait_ready()
    journal = stage.journal
    print(
        f"{stage.clock.now_ms() / MS_PER_S - stage.began_s:4.0f} s, seed {seed}: "
        f"{len(journal.requests)} requests, {len(journal.tries)} tries, "
        f"{stage.rig.platform.count_repeated_calls()} calls executed twice so far",
        flush=True,
    )


class CallBudget:
    """Number of calls shared by all callers; it is exceeded while faults are still active."""

    def __init__(self, *, calls: int, faults: asyncio.Task[None] | None = None) -> None:
        self._left = calls
        self._faults = faults

    def consume(self) -> bool:
        """Take one call from the budget and return whether it may be made."""
        self._left -= 1
        return self._left >= 0 or (self._faults is not None and not self._faults.done())


async def async_call(
    context: FaultContext, stage: Stage, *, seed: int, budget: CallBudget, calls_per_s: float
) -> None:
    """Make service calls at a rate until the budget is spent, with concurrent chats."""
    chats = [asyncio.create_task(play) for play in list_chats(context, stage, seed)]
    try:
        await asyncio.gather(*list_calls(context, stage, seed, budget, calls_per_s))
    finally:
        for chat in chats:
            chat.cancel()
        await asyncio.gather(*chats, return_exceptions=True)


def list_calls(
    context: FaultContext, stage: Stage, seed: int, budget: CallBudget, calls_per_s: float
) -> list[Coroutine[Any, Any, None]]:
    """Return the runs of service callers; every OPAQUE_KEY_EVERY-th uses keys without a time."""
    think_ms = round(CALL_CALLERS / calls_per_s * MS_PER_S)
    plays = []
    for number in range(CALL_CALLERS):
        deployment = choose_deployment(stage, number)
        kind = FaultOpaqueCaller if number % OPAQUE_KEY_EVERY == 0 else FaultCallCaller
        caller = kind(
            context=context,
            account=choose_account(deployment, seed * CALL_CALLERS + number),
            seed=seed * CALL_CALLERS + number,
            pool=deployment.service_pool,
            path=deployment.at_most_once[number % len(deployment.at_most_once)],
        )
        plays.append(async_make_calls(caller, budget, think_ms))
    return plays


async def async_make_calls(caller: FaultCallCaller, budget: CallBudget, think_ms: int) -> None:
    """Make calls in sequence until the budget is spent."""
    while budget.consume():
        think = caller.clock.async_sleep(caller.fault_random.randrange(2 * think_ms))
        await asyncio.gather(caller.async_call(), think)


def list_chats(context: FaultContext, stage: Stage, seed: int) -> list[Coroutine[Any, Any, None]]:
    """Return the runs of callers that open chats in sequence."""
    return [
        async_chat(context, choose_deployment(stage, number), seed * CHAT_CALLERS + number)
        for number in range(CHAT_CALLERS)
    ]


async def async_chat(context: FaultContext, deployment: Deployment, seed: int) -> None:
    """Open chats in sequence until cancelled."""
    randomness = random.Random(seed)
    account = choose_account(deployment, seed)
    while True:
        number = randomness.getrandbits(48)
        caller = FaultChatCaller(
            context=context,
            account=account,
            seed=number,
            chat=f"chat-{number:x}",
            model=deployment.model,
            shape=LONG_CHAT_SHAPE if number % LONG_CHAT_EVERY == 0 else CHAT_SHAPE,
        )
        await caller.async_run()
        await context.clock.async_sleep(randomness.randrange(CHAT_SHAPE.think_ms))


def choose_deployment(stage: Stage, number: int) -> Deployment:
    """Return the deployment of a caller."""
    deployments = stage.rig.platform.deployments
    return deployments[number % len(deployments)]


def choose_account(deployment: Deployment, seed: int) -> Account:
    """Return an account whose requests carry a deadline."""
    account = choose_accounts(deployment, count=1, seed=seed)[0]
    return FaultAccount(
        workspace=account.workspace, key=account.key, caller_class=account.caller_class
    )
