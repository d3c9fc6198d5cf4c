"""Requests with long bodies on kept connections, while one forwarder is stopped with SIGTERM."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path
from zlib import crc32

from standins.deployment import (
    CANNOT_RUN_EXIT,
    ZONES,
    CannotRun,
    Deployment,
    KeptConnection,
    is_whole_stream,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 8
EVENTS = 8
CLIENTS = 48
# The largest body of such requests in the site file, and how long it takes over a link of 5 Mbit/s.
BODY_BYTES = 72_000
UPLOAD_S = 0.115
PARTS = 10
# When clients begin to send their second requests, on connections that they have kept: one after
# the other, from so long after the SIGTERM on.
SECOND_AFTER_S = 1.5
SPREAD_S = 1.2
LOSS_SLACK_S = 0.2
ROUTE = {
    "name": "pedido-tallas",
    "prefix": "/pedido/",
    "kind": "streaming",
    "service": "modelo-yeso",
    "timeout_ms": 15000,
    "target_latency_ms": 800,
    "target_gap_ms": 250,
    "max_attempts": 1,
    "priority": 1,
}
SERVICE = {
    "name": "modelo-yeso",
    "max_connections": 360,
    "engine": {"slots": 64, "kv_tokens": 655737},
}


class Outcome:
    """What became of one request."""

    def __init__(self) -> None:
        self.sent_s = 0.0
        self.ended_s = 0.0
        self.status = 0
        self.whole = False
        # Bytes of the request that the process had not read soon after the last one was sent;
        # None if the connection was gone by then.
        self.unread: int | None = None


async def send(
    world: Deployment, connection: KeptConnection, name: str, *, upload_s: float
) -> Outcome:
    """Send one request on a kept connection, its body in parts, and read the answer."""
    outcome = Outcome()
    headers = {
        "X-Request-Id": name,
        "X-Deadline-Ms": "15000",
        "X-Model": "m",
        "X-Token-Usage": f"1812,{EVENTS * 5}",
        "X-Prefix-Hash": f"5c1e07a2:512,{crc32(name.encode()):x}:1300",
    }
    loop = asyncio.get_running_loop()
    try:
        await connection.send_slowly(
            path="/pedido/a", headers=headers, size=BODY_BYTES, parts=PARTS, upload_s=upload_s
        )
        outcome.sent_s = loop.time()
        reading = asyncio.create_task(connection.count_unread(after_s=LOSS_SLACK_S))
        answer = await connection.receive(wait_s=15)
        outcome.status = answer.status
        outcome.whole = answer.whole and is_whole_stream(answer, EVENTS)
        outcome.ended_s = loop.time()
        outcome.unread = await reading
    except OSError as error:
        world.note(f"client: {name} {error!r} while it sent")
        outcome.ended_s = loop.time()
    waited_s = outcome.ended_s - outcome.sent_s if outcome.sent_s else 0.0
    world.note(
        f"client: {name} sent whole: {outcome.sent_s > 0}, status {outcome.status},"
        f" whole answer: {outcome.whole}, ended {waited_s:.3f} s after its last byte,"
        f" bytes that the forwarder had not read: {outcome.unread}"
    )
    return outcome


async def run_client(world: Deployment, number: int, begin: asyncio.Event) -> Outcome:
    """Send a request, keep the connection, and send another one around the stop."""
    connection = KeptConnection(world.fronts[0])
    await connection.open()
    await asyncio.sleep(SPREAD_S * number / CLIENTS)
    first = await send(world, connection, f"first-{number}", upload_s=UPLOAD_S)
    if not first.whole:
        raise CannotRun("a request failed before the stop")
    await begin.wait()
    await asyncio.sleep(SECOND_AFTER_S + SPREAD_S * number / CLIENTS)
    second = await send(world, connection, f"second-{number}", upload_s=UPLOAD_S)
    connection.close()
    return second


def is_lost(outcome: Outcome) -> bool:
    """Return whether a request was sent whole and its connection ended without an answer.

    A status of its own, such as a refusal, is an answer.
    """
    if not outcome.sent_s or outcome.whole or outcome.status not in (0, 200):
        return False
    if outcome.unread != 0:
        return False
    return outcome.ended_s - outcome.sent_s > LOSS_SLACK_S


async def play(world: Deployment) -> bool:
    """Return whether the rule held."""
    await world.start(routes=[ROUTE], services=[SERVICE])
    for number, zone in enumerate(ZONES):
        world.start_runner(
            f"i-model-{number}", service="modelo-yeso", zone=zone, events=EVENTS, pause_ms=20
        )
    await world.start_forwarders()
    await asyncio.sleep(1)
    begin = asyncio.Event()
    clients = [asyncio.create_task(run_client(world, n, begin)) for n in range(CLIENTS)]
    await asyncio.sleep(3)
    stopping = world.forwarders[0]
    if TROUBLE:
        stopping.send_signal(signal.SIGTERM)
        world.note("SIGTERM to the forwarder of the clients")
    begin.set()
    if TROUBLE:
        asyncio.get_running_loop().call_later(GRACE_S, stopping.kill)
    outcomes = await asyncio.gather(*clients)
    if TROUBLE:
        world.note(f"the forwarder exited with {stopping.wait()}")
    world.record_runs()
    lost = sum(map(is_lost, outcomes))
    whole = sum(outcome.whole for outcome in outcomes)
    summary = f"{CLIENTS} requests around the stop: {whole} with a whole answer, {lost} lost"
    world.note(summary)
    print(summary)
    if not TROUBLE and whole < CLIENTS:
        raise CannotRun("requests failed without the disruption")
    return lost == 0


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
