"""Whole streams of a runner that leaves are cut: it listens no longer while it ends them."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

from rig import (  # noqa: E402
    BROKEN,
    CONFIG_KEY,
    HELD,
    CannotRun,
    Client,
    Exchange,
    Fleet,
    Runner,
    configuration,
    engine,
    play,
    prompt,
    route,
)

EVENTS = 50
GAP_S = 0.1
STREAMS = 12
DRAIN_S = 2.0
LONGER_S = 0.5


async def stream(exchange: Exchange) -> None:
    """Write a stream that has neither a length nor chunks and ends with its connection."""
    runner, writer = exchange.runner, exchange.writer
    writer.write(exchange.head(Content_Type="text/event-stream", Connection="close"))
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(GAP_S)
        writer.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
        await writer.drain()
    runner.record.write(f"runner {runner.name} has written {exchange.request_id} to its end")
    exchange.close()


async def leave(fleet: Fleet, runner: Runner) -> None:
    """Report draining, serve on for drain_ms and a little longer, and exit.

    An exit is graceful: no new connections, then the end once what is under way has its answer.
    """
    runner.leaving = True
    fleet.publish(runner, "draining")
    await asyncio.sleep(DRAIN_S + LONGER_S)
    runner.stop_listening()
    fleet.record.write(f"runner {runner.name} exits: it takes no more connections")
    while runner.running:
        await asyncio.sleep(0.01)
    runner.die()
    fleet.record.write(f"runner {runner.name} has ended what was under way and is gone")
    fleet.store.remove(f"servers/{runner.name}")


async def case(fleet: Fleet, trouble: bool) -> int:
    record = fleet.record
    fleet.runners = [Runner(record, f"i-{n}", service="models", behave=stream) for n in "abcd"]
    for runner in fleet.runners:
        await runner.start()
        fleet.publish(runner)
    draft = route("draft", "/draft/", "models", "streaming", sticky=True, target_gap_ms=250)
    fleet.store.put(CONFIG_KEY, configuration(7, [draft], [engine("models")]))
    fleet.add_routers(3)
    for router in fleet.routers:
        await router.start(bootstrap=True)
    for router in fleet.routers:
        await router.wait_ready()
    # Calm for longer than stable_window_ms.
    await asyncio.sleep(3.5)
    router = fleet.routers[0]
    router.signal(signal.SIGHUP)
    await asyncio.sleep(0.5)
    sent = [
        asyncio.create_task(
            Client(record, router.front).send(
                f"/draft/{number}", f"q{number}", headers=prompt(f"a{number}", f"b{number}")
            )
        )
        for number in range(STREAMS)
    ]
    await asyncio.sleep(0.5)
    leaving = max(fleet.runners, key=lambda runner: runner.running)
    if not leaving.running:
        raise CannotRun("no stream has begun")
    left = asyncio.create_task(leave(fleet, leaving)) if trouble else None
    replies = await asyncio.gather(*sent)
    if left is not None:
        await left
    cut = [reply for reply in replies if reply.status == 200 and not reply.complete]
    record.write(f"{len(cut)} of {len(replies)} streams were cut")
    return BROKEN if cut else HELD


play(case, FOLDER)
