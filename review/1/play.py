"""Large answers of a service that may be repeated, while one of its runners crashes."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

from standins.deployment import CANNOT_RUN_EXIT, ZONES, CannotRun, Deployment, ask
from standins.runner import make_body

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BODY_BYTES = 600_000
# A runner sends an answer in six parts with these pauses.
PART_MS = 60
HALF_BYTES = 300_000
# The runner crashes when it has sent a half of so many answers that it still sends.
CRASH_IN_ANSWERS = 2
RUNNERS = 6
CRASHED = "i-app-0"
DOWN_S = 4
# Clients that ask one after the other, and how long they do.
CLIENTS = 24
PLAY_S = 10
CRASH_AFTER_S = 4
ROUTE = {
    "name": "estado-envio",
    "prefix": "/estado/",
    "kind": "idempotent",
    "service": "inventario-app",
    "timeout_ms": 2000,
    "target_latency_ms": 400,
    "max_attempts": 2,
    "priority": 1,
}
SERVICE = {"name": "inventario-app", "max_connections": 96}


class Count:
    """What the clients have seen."""

    def __init__(self) -> None:
        self.requests = 0
        self.right = 0
        self.wrong = 0


def start_runner(world: Deployment, number: int) -> None:
    """Start a runner, or start it again."""
    world.start_runner(
        f"i-app-{number}",
        service="inventario-app",
        zone=ZONES[number % 3],
        slots=6,
        body_bytes=BODY_BYTES,
        part_ms=PART_MS,
    )


async def ask_for(world: Deployment, client: int, count: Count) -> None:
    """Ask one request after the other, until the play ends."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + PLAY_S
    number = 0
    while loop.time() < end_s:
        number += 1
        name = f"look-{client}-{number}"
        path = f"/estado/{name}"
        headers = {"X-Request-Id": name, "X-Deadline-Ms": "2000"}
        port = world.fronts[client % 3]
        answer = await ask(port, method="GET", path=path, headers=headers, wait_s=3)
        right = answer.body == make_body(path, BODY_BYTES)
        complete = answer.status == 200 and answer.whole
        count.requests += 1
        count.right += complete and right
        count.wrong += complete and not right
        world.note(
            f"client: {name} status {answer.status}, {len(answer.body)} bytes,"
            f" complete by its framing: {answer.whole}, the runner's body: {right},"
            f" stamp {answer.headers.get('x-server-stamp', 'none')}"
        )
        await asyncio.sleep(0.1)


async def crash(world: Deployment) -> None:
    """End a runner that is in the second half of several answers, and start it again."""
    await asyncio.sleep(CRASH_AFTER_S)
    world.read_new_runs()
    half_sent: set[str] = set()
    while len(half_sent) < CRASH_IN_ANSWERS:
        await asyncio.sleep(0.005)
        for run in world.read_new_runs():
            note_progress(run, half_sent)
    world.kill_runner(CRASHED)
    await asyncio.sleep(DOWN_S)
    start_runner(world, 0)


def note_progress(run: dict[str, Any], half_sent: set[str]) -> None:
    """Keep the requests of which the runner has sent a half of the answer, but not all."""
    if run["runner"] != CRASHED:
        return
    if run["what"] == "sends" and run["sent"] == HALF_BYTES:
        half_sent.add(run["id"])
    elif run["what"] == "answered":
        half_sent.discard(run["id"])


async def play(world: Deployment) -> bool:
    """Return whether the rule held."""
    await world.start(routes=[ROUTE], services=[SERVICE])
    for number in range(RUNNERS):
        start_runner(world, number)
    await world.start_forwarders()
    await asyncio.sleep(1)
    count = Count()
    clients = [ask_for(world, client, count) for client in range(CLIENTS)]
    await asyncio.gather(*clients, *([crash(world)] if TROUBLE else []))
    world.record_runs()
    summary = (
        f"{count.requests} requests: {count.right} right,"
        f" {count.wrong} complete by their framing but not the runner's body"
    )
    world.note(summary)
    print(summary)
    if not TROUBLE and count.right < count.requests:
        raise CannotRun("requests failed without the disruption")
    return count.wrong == 0


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
