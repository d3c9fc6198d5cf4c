"""Randomized soak test of forwarder processes against stand-ins with injected faults."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import Final, Protocol

import click

from bench.soak_callers import Callers
from bench.soak_checks import Violation, check_all, check_cold_starts, check_evacuations
from bench.soak_connections import ConnectionCallers, check_connections
from bench.soak_crashes import (
    CrashingCallers,
    CrashingEngines,
    check_crashing_parts,
    check_sound_prompts,
)
from bench.soak_deaths import SECONDS as DEATHS_S
from bench.soak_deaths import async_soak_deaths
from bench.soak_dimensions import Dimension
from bench.soak_drain_checks import check_backoffs, check_draining, check_retired
from bench.soak_faults import FaultInjector
from bench.soak_leavings import check_leavings
from bench.soak_one_attempt import async_soak_one_attempt
from bench.soak_out_of_step import Shape as Lag
from bench.soak_out_of_step import async_soak_out_of_step
from bench.soak_overlaps import async_soak_overlaps
from bench.soak_retry_checks import RETRY_RATIO, RETRY_SLACK, check_retry_budget
from bench.soak_rig import ENV_KEY, FORWARDERS, KEY, SoakRig
from bench.soak_silences import async_soak_silences
from bench.soak_slowdowns import SHAPES, async_soak_slowdowns
from bench.soak_stops import async_soak_stops
from bench.soak_streams import StreamCallers, check_going_on, check_streams, count_taken_up
from bench.soak_unfinished import async_soak_unfinished

DEFAULT_S: Final = 6.0
SETTLE_S: Final = 3.0
SURGE_S: Final = 2.5
RECOVERY_PROBES: Final = 40
MS: Final = 1_000
STATED: Final = "stated"


class SoakRun(Protocol):
    """A soak of its own: returns figures, violations and the stopped rig."""

    async def __call__(
        self, *, seed: int, folder: Path, forwarders: int
    ) -> tuple[dict[str, object], list[Violation], SoakRig]:
        """Run one seed."""


async def async_soak_one(
    run: SoakRun, *, seed: int, folder: Path, forwarders: int
) -> tuple[dict[str, object], bool]:
    """Run one seed of a soak of its own; return its figures, and whether all held."""
    figures, violations, rig = await run(seed=seed, folder=folder, forwarders=forwarders)
    _print_violations(violations, rig)
    return figures, not violations


async def async_soak(
    *,
    seed: int,
    seconds: float,
    folder: Path,
    evacuations: bool = False,
    drills: bool = False,
    storms: bool = False,
    leavings: bool = False,
    versions: bool = False,
    crashes: bool = False,
    surges: bool = False,
    forwarders: int = FORWARDERS,
) -> tuple[dict[str, object], bool]:
    """Run one seed and return its figures, and whether all guarantees held.

    With `evacuations` data centres are evacuated and engines start cold. With `drills` the
    store is restored from backups, and runners announce their drain or ask for back-off. With
    `storms` all runners of a service reject requests while all forwarders are killed, and the
    retry budget is small. With `leavings` runners leave by the store alone while forwarders restart
    and lose their connections to a store that is stable. With `versions` engines of several
    versions serve side by side, responses have no length, and callers take streams up elsewhere.
    With `crashes` engines crash on some parts of prompts. With `surges` most new connections go to
    one forwarder, then to another, after the faults.
    More than five `forwarders` are spread over three data centres, where most of them do not watch
    the store.
    """
    bounds = {"retry_ratio": RETRY_RATIO, "retry_slack": RETRY_SLACK} if storms else {}
    rig = SoakRig(
        folder=folder,
        forwarders=forwarders,
        evacuations=evacuations,
        versions=versions,
        bounds=bounds,
    )
    engines: CrashingEngines | None = None
    try:
        await rig.async_start()
        callers = Callers(rig=rig, seed=seed)
        injector = FaultInjector(
            rig=rig,
            seed=seed,
            evacuations=evacuations,
            drills=drills,
            storms=storms,
            leavings=leavings,
            versions=versions,
            crashes=crashes,
        )
        engines = CrashingEngines(rig=rig, seed=seed) if crashes else None
        crashing_callers = CrashingCallers(rig=rig, seed=seed)
        connection_callers = ConnectionCallers(rig=rig)
        stream_callers = StreamCallers(rig=rig, seed=seed)
        runs = [callers.async_run(), *([stream_callers.async_run()] if versions else [])]
        if crashes:
            runs.append(crashing_callers.async_run())
        call_task = asyncio.gather(*runs)
        await injector.async_run(seconds=seconds)
        await injector.async_wait_until_reverted()
        await asyncio.sleep(SETTLE_S)
        if surges:
            await connection_callers.async_run(duration_s=SURGE_S)
            for number in (seed % rig.count, (seed + 1) % rig.count):
                await connection_callers.async_run(duration_s=2 * SURGE_S, surge_to=number)
        callers.stop()
        stream_callers.stop()
        crashing_callers.stop()
        await call_task
        settled_s = time.monotonic()
        recovered = await callers.async_probe(count=RECOVERY_PROBES)
        violations = check_all(
            records=callers.records,
            arrivals=rig.list_arrivals(),
            journals=rig.read_journals(),
            recovered=recovered / RECOVERY_PROBES,
        )
        violations += check_evacuations(rig.read_journals(), rig.data_centres)
        violations += check_cold_starts(rig.list_runners())
        violations += check_draining(
            callers.records, rig.list_runners(), rig.disturbances.interruptions_s
        )
        violations += check_backoffs(
            callers.records, rig.list_runners(), rig.disturbances.interruptions_s
        )
        violations += check_retired(rig.retired, settled_s)
        violations += check_leavings(callers.records, rig.leavings, rig.disturbances)
        violations += check_streams(stream_callers.streams)
        violations += check_going_on(stream_callers.streams)
        violations += check_connections(connection_callers.tries)
        violations += check_sound_prompts(rig.list_arrivals(), callers.records, rig.disturbances)
        violations += check_crashing_parts(
            rig.list_arrivals(), crashing_callers.forwarders, rig.disturbances
        )
        if storms:
            violations += check_retry_budget(callers.records, rig.list_runners_by_service())
    finally:
        if engines is not None:
            engines.stop()
        await rig.async_stop()
    figures: dict[str, object] = {
        "seed": seed,
        "requests": len(callers.records),
        "answered": sum(record.status == 200 and record.complete for record in callers.records),
        "refused": sum(record.refused for record in callers.records),
        "faults": injector.counts,
        "recovered": recovered,
        "crashes": sum(runner.crashes for runner in rig.list_runners()),
        "streams": count_taken_up(stream_callers.streams),
        "violations": [str(violation) for violation in violations],
    }
    _print_violations(violations, rig)
    return figures, not violations


def _print_violations(violations: list[Violation], rig: SoakRig) -> None:
    """Print each violation with all journal lines of its request."""
    for violation in violations:
        click.echo(f"VIOLATION {violation}")
        for line in rig.read_journals():
            if violation.request_id and line.get("request_id") == violation.request_id:
                click.echo(f"    {json.dumps(line)}")


def _keep_journals(folder: Path, target: Path) -> None:
    target.mkdir(parents=True, exist_ok=True)
    # Standard errors too, in logs of the names of the forwarders.
    for path in folder.glob("*.log"):
        shutil.copy(path, target)


@click.command()
@click.option("--seed", type=int, default=None, help="Run only this seed.")
@click.option("--seeds", type=int, default=1, help="Number of seeds to run in sequence.")
@click.option("--minutes", type=float, default=0.0, help="Run new seeds for this many minutes.")
@click.option(
    "--seconds", type=float, default=None, help="Seconds of fault injection in each seed."
)
@click.option("--places", is_flag=True, help="Evacuate data centres and cold-start engines.")
@click.option(
    "--drills", is_flag=True, help="Restore the store; drain runners and let them ask for back-off."
)
@click.option("--storms", is_flag=True, help="Reject most requests while forwarders are killed.")
@click.option("--leavings", is_flag=True, help="Runners leave while forwarders are disturbed.")
@click.option("--versions", is_flag=True, help="Engines of several versions; streams go on.")
@click.option("--crashes", is_flag=True, help="Engines crash on some parts of prompts.")
@click.option("--surges", is_flag=True, help="Most new connections go to one forwarder.")
@click.option(
    "--unfinished",
    is_flag=True,
    help="Only: slow bodies around stops, large responses that break off, late listings.",
)
@click.option(
    "--stops", is_flag=True, help="Only: signals in series, kept connections, endless bytes."
)
@click.option(
    "--silences", is_flag=True, help="Only: sound upstreams fall silent for a moment and go on."
)
@click.option(
    "--overlaps", is_flag=True, help="Only: stops that overlap, silent upstreams, pausing callers."
)
@click.option(
    "--deaths", is_flag=True, help="Only: upstreams are processes that are killed in answers."
)
@click.option(
    "--starts",
    type=click.Choice([STATED, "unstated"]),
    help="Whether entries and reports of --deaths state starts; drawn if not given.",
)
@click.option(
    "--one-attempt",
    is_flag=True,
    help="Only: stops that overlap, streams with one attempt; all dimensions, or the given ones.",
)
@click.option(
    "--dimension",
    "dimensions",
    multiple=True,
    type=click.Choice([dimension.value for dimension in Dimension]),
    help="What happens beside the stops of --one-attempt; may be given several times.",
)
@click.option("--slowdowns", is_flag=True, help="Only: upstreams get slower in stops.")
@click.option(
    "--shape",
    type=click.Choice(list(SHAPES)),
    help="How upstreams get slower in each stop of --slowdowns; drawn if not given.",
)
@click.option(
    "--out-of-step",
    is_flag=True,
    help="Only: streams are taken up at routers out of step while versions change.",
)
@click.option(
    "--lag",
    "lags",
    multiple=True,
    type=click.Choice([lag.value for lag in Lag]),
    help="The rounds of --out-of-step; may be given several times, drawn if not given.",
)
@click.option(
    "--product",
    type=click.Path(path_type=Path, file_okay=False, exists=True, resolve_path=True),
    help="Checkout with its environment whose forwarders --slowdowns and --out-of-step play.",
)
@click.option(
    "--forwarders", type=int, default=FORWARDERS, help="Number of forwarders; 15 for most tests."
)
@click.option(
    "--journals",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder that keeps the journals of the forwarders.",
)
def soak_command(
    seed: int | None,
    seeds: int,
    minutes: float,
    seconds: float | None,
    places: bool,
    drills: bool,
    storms: bool,
    leavings: bool,
    versions: bool,
    crashes: bool,
    surges: bool,
    unfinished: bool,
    stops: bool,
    silences: bool,
    overlaps: bool,
    deaths: bool,
    starts: str | None,
    one_attempt: bool,
    dimensions: tuple[str, ...],
    slowdowns: bool,
    shape: str | None,
    out_of_step: bool,
    lags: tuple[str, ...],
    product: Path | None,
    forwarders: int,
    journals: Path | None,
) -> None:
    """Run seeds; the last line is a JSON object. Exits with 1 after a violation."""
    first = int(time.time()) % 1_000_000 if minutes else 1
    chosen = [seed] if seed is not None else list(range(first, first + seeds))
    ends = time.monotonic() + 60 * minutes
    runs: list[dict[str, object]] = []
    chosen_dimensions = [Dimension(name) for name in dimensions] or list(Dimension)
    states_start = None if starts is None else starts == STATED
    alone: dict[SoakRun, bool] = {
        async_soak_unfinished: unfinished,
        async_soak_stops: stops,
        async_soak_silences: silences,
        async_soak_overlaps: overlaps,
        partial(async_soak_deaths, seconds=seconds or DEATHS_S, states_start=states_start): deaths,
        partial(async_soak_one_attempt, dimensions=chosen_dimensions): one_attempt,
        partial(
            async_soak_out_of_step, shapes=[Lag(lag) for lag in lags], product=product
        ): out_of_step,
        partial(async_soak_slowdowns, shape=SHAPES.get(shape or ""), product=product): slowdowns,
    }
    only = next((run for run, wanted in alone.items() if wanted), None)
    all_kept = True
    while chosen or time.monotonic() < ends:
        number = chosen.pop(0) if chosen else first + len(runs)
        with tempfile.TemporaryDirectory() as folder:
            if only is not None:
                soak = async_soak_one(only, seed=number, folder=Path(folder), forwarders=forwarders)
            else:
                soak = async_soak(
                    seed=number,
                    seconds=seconds or DEFAULT_S,
                    folder=Path(folder),
                    evacuations=places,
                    drills=drills,
                    storms=storms,
                    leavings=leavings,
                    versions=versions,
                    crashes=crashes,
                    surges=surges,
                    forwarders=forwarders,
                )
            figures, kept = asyncio.run(soak)
            if journals is not None:
                _keep_journals(Path(folder), journals / str(number))
        click.echo(json.dumps(figures))
        runs.append(figures)
        all_kept = all_kept and kept
    click.echo(json.dumps({"seeds": len(runs), "kept": all_kept}))
    sys.exit(0 if all_kept else 1)


def main(argv: list[str]) -> int:
    """Run the command line and return its exit code."""
    os.environ[ENV_KEY] = KEY
    try:
        soak_command.main(args=argv, prog_name="python -m bench soak")
    except SystemExit as ended:
        return int(ended.code or 0)
    return 0
