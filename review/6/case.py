"""A sound stream is cut after one runner has been silent for a second and another has gone on.

The id of an event is the number of tokens up to it: ids increase, by one while events hold a token
each, and by more once they hold several.
"""

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

# Tokens in each event of a stream.
SIZES = [1] * 14 + [5] * 6
IDS = [sum(SIZES[: number + 1]) for number in range(len(SIZES))]
GAP_S = 0.1
STREAMS = 6
# Sound servers may be silent "for a second or so".
SILENT_S = 1.2
SILENT_AFTER_S = 0.85


async def stream(exchange: Exchange) -> None:
    """Write the events behind Last-Event-Id, in chunks, up to the last one."""
    after = int(exchange.headers.get("last-event-id", "0"))
    runner, writer = exchange.runner, exchange.writer
    writer.write(exchange.head(Content_Type="text/event-stream", Transfer_Encoding="chunked"))
    for event_id, size in zip(IDS, SIZES, strict=True):
        if event_id <= after:
            continue
        await asyncio.sleep(GAP_S)
        await runner.awake.wait()
        if writer.is_closing():
            runner.record.write(f"runner {runner.name} drops {exchange.request_id}: closed")
            return
        event = b"id: %d\ndata: %s\n\n" % (event_id, b"t" * size)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    runner.record.write(f"runner {runner.name} has written {exchange.request_id} to its end")


async def case(fleet: Fleet, trouble: bool) -> int:
    record = fleet.record
    fleet.runners = [Runner(record, f"i-{n}", service="models", behave=stream) for n in "abc"]
    for runner in fleet.runners:
        await runner.start()
        fleet.publish(runner)
    quote = route(
        "quote",
        "/quote/",
        "models",
        "streaming",
        timeout_ms=12000,
        max_attempts=2,
        resumable=True,
        sticky=True,
        target_gap_ms=250,
    )
    fleet.store.put(CONFIG_KEY, configuration(7, [quote], [engine("models")]))
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
                f"/quote/{number}", f"q{number}", headers=prompt(f"a{number}", f"b{number}")
            )
        )
        for number in range(STREAMS)
    ]
    await asyncio.sleep(SILENT_AFTER_S)
    silent = max(fleet.runners, key=lambda runner: runner.running)
    if not silent.running:
        raise CannotRun("no stream has begun")
    if trouble:
        await silent.fall_silent(SILENT_S)
    replies = await asyncio.gather(*sent)
    cut = [reply for reply in replies if reply.status == 200 and not reply.complete]
    record.write(f"{len(cut)} of {len(replies)} streams were cut")
    return BROKEN if cut else HELD


play(case, FOLDER)
