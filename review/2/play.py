"""Streams that may be resumed, while two of four runners crash in turn and come back updated.

Each starts again under its id and address, with the next version of its software, and registers
within one heartbeat interval of its start. The clients are in the zone of the first runner.
"""

from __future__ import annotations

import asyncio
import os
import re
import sys
from pathlib import Path
from zlib import crc32

from standins.deployment import CANNOT_RUN_EXIT, ZONES, Answer, CannotRun, Deployment, ask

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = ("i-model-0", "i-model-1", "i-model-2", "i-model-3")
# The runner in the zone of the clients and of their forwarder.
NEAR = RUNNERS[0]
EVENTS = 60
PAUSE_MS = 80
PROMPTS = 16
# Streams at each of the other runners, and the pause between two that begin.
STREAMS = 4
BEGIN_S = 0.03
# Longer than runners and forwarders keep an idle connection.
IDLE_S = 5.5
REGISTER_AFTER_S = 1.1
# Each is down for so long; the second crashes so long after the first is back.
DOWN_S = 1.0
NEXT_AFTER_S = 0.7
ROUTE = {
    "name": "cotizacion-tela",
    "prefix": "/quote/",
    "kind": "streaming",
    "service": "modelo-yeso",
    "timeout_ms": 12000,
    "target_latency_ms": 300,
    "target_gap_ms": 250,
    "max_attempts": 2,
    "priority": 0,
    "resumable": True,
}
SERVICE = {
    "name": "modelo-yeso",
    "max_connections": 360,
    "engine": {"slots": 64, "kv_tokens": 655737},
}


def start_runner(world: Deployment, number: int, *, version: str, register_after: float) -> None:
    """Start a runner, or start it again under its id."""
    world.start_runner(
        RUNNERS[number],
        service="modelo-yeso",
        zone=ZONES[number % 3] if number < 3 else ZONES[1],
        version=version,
        register_after=register_after,
        events=EVENTS,
        pause_ms=PAUSE_MS,
    )


async def stream(
    world: Deployment, name: str, prompt: int, *, after_s: float = 0
) -> tuple[str, Answer]:
    """Send one request for a stream about a prompt and read it to its end."""
    await asyncio.sleep(after_s)
    headers = {
        "X-Request-Id": name,
        "X-Deadline-Ms": "12000",
        "X-Model": "m",
        "X-Token-Usage": f"830,{EVENTS * 5}",
        "X-Prefix-Hash": f"5c1e07a2:119,{0x91BD3F06 + prompt:x}:580,{crc32(name.encode()):x}:131",
    }
    port = world.fronts[0]
    answer = await ask(
        port, method="POST", path="/quote/a", headers=headers, body=b"prompt", wait_s=14
    )
    return name, answer


def find_runners(world: Deployment, names: list[str]) -> set[str]:
    """Return the runners that ran these requests."""
    return {
        run["runner"] for run in world.read_runs() if run["what"] == "run" and run["id"] in names
    }


async def find_prompts(world: Deployment) -> dict[str, int]:
    """Send a stream about each of some prompts; return one prompt of each runner but NEAR."""
    names = [f"first-{prompt}" for prompt in range(PROMPTS)]
    await asyncio.gather(*(stream(world, name, n) for n, name in enumerate(names)))
    found: dict[str, int] = {}
    for prompt, name in enumerate(names):
        for runner in find_runners(world, [name]):
            found.setdefault(runner, prompt)
    found.pop(NEAR, None)
    if len(found) < 2:
        raise CannotRun(f"the prompts are at {sorted(found)} and {NEAR} only")
    return found


def list_versions(answer: Answer) -> list[str]:
    """Return the versions that wrote events of an answer, in the order of their first event."""
    found = re.findall(r"data: (\S+) of", answer.body.decode())
    return list(dict.fromkeys(found))


async def update_runners(world: Deployment, busy: str) -> None:
    """Let the near runner, which has no stream, crash and come back, then a busy one."""
    await asyncio.sleep(1.0)
    runners = {run["runner"] for run in world.read_runs() if run["id"].startswith("quote-")}
    if NEAR in runners or busy not in runners:
        raise CannotRun(f"the streams run at {sorted(runners)}, expected {busy} and not {NEAR}")
    for name in (NEAR, busy):
        world.kill_runner(name)
        await asyncio.sleep(DOWN_S)
        number = RUNNERS.index(name)
        start_runner(world, number, version="2", register_after=REGISTER_AFTER_S)
        await asyncio.sleep(NEXT_AFTER_S)


async def play(world: Deployment) -> bool:
    """Return whether the rule held."""
    await world.start(routes=[ROUTE], services=[SERVICE])
    for number in range(len(RUNNERS)):
        start_runner(world, number, version="1", register_after=0)
    await world.start_forwarders()
    await asyncio.sleep(1)
    prompts = await find_prompts(world)
    await asyncio.sleep(IDLE_S)
    wanted = [prompt for _ in range(STREAMS) for prompt in prompts.values()]
    streams = [
        stream(world, f"quote-{number}", prompt, after_s=BEGIN_S * number)
        for number, prompt in enumerate(wanted)
    ]
    trouble = [update_runners(world, next(iter(prompts)))] if TROUBLE else []
    results = await asyncio.gather(*streams, *trouble)
    joined = complete = 0
    for name, answer in results[: len(streams)]:
        versions = list_versions(answer)
        joined += len(versions) > 1
        complete += answer.status == 200 and answer.whole
        events = re.findall(r"id: (\d+)\ndata: (\S+) of (\S+),", answer.body.decode())
        runs = [f"{n} at {runner} version {v}" for n, v, runner in events]
        changes = [
            f"{one} -> {other}"
            for one, other in zip(runs, runs[1:])
            if one.split(" ", 1)[1] != other.split(" ", 1)[1]
        ]
        world.note(
            f"client: {name} status {answer.status}, {len(events)} events, complete:"
            f" {answer.whole}, versions {versions}, changes of the runner {changes}"
        )
    world.record_runs()
    summary = f"{len(streams)} streams: {complete} complete, {joined} hold events of two software versions"
    world.note(summary)
    print(summary)
    if not TROUBLE and complete < len(streams):
        raise CannotRun("streams failed without the disruption")
    return joined <= 2


async def main() -> int:
    """Play the case; return the exit code."""
    world = Deployment(Path(__file__).parent / "record.txt")
    try:
        return 0 if await play(world) else 1
    except (CannotRun, TimeoutError, OSError) as error:
        world.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return CANNOT_RUN_EXIT
    finally:
        world.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
