"""Two engines work on one request: the silent one is left while it goes on with its work."""

import asyncio
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
    Record,
    Runner,
    configuration,
    engine,
    play,
    prompt,
    route,
)

EVENTS = 30
GAP_S = 0.1
STREAMS = 6
# Sound servers may be silent "for a second or so".
SILENT_S = 1.2
SILENT_AFTER_S = 0.85
# How long the runner before may still work on a request that goes on at another one.
OVERLAP_S = 0.4


class Work:
    """When each run of a request began and ended, by the runners' own account."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.runs: dict[str, list[list[float]]] = {}

    async def stream(self, exchange: Exchange) -> None:
        """Work through all events behind Last-Event-Id, whether or not anybody reads them."""
        run = [self._record.now(), float("inf")]
        self.runs.setdefault(exchange.request_id, []).append(run)
        after = int(exchange.headers.get("last-event-id", "0"))
        runner, writer = exchange.runner, exchange.writer
        writer.write(exchange.head(Content_Type="text/event-stream", Transfer_Encoding="chunked"))
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(GAP_S)
            await runner.awake.wait()
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if not writer.is_closing():
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        if not writer.is_closing():
            writer.write(b"0\r\n\r\n")
        run[1] = self._record.now()
        self._record.write(f"runner {runner.name} has worked {exchange.request_id} to its end")


async def case(fleet: Fleet, trouble: bool) -> int:
    record = fleet.record
    work = Work(record)
    fleet.runners = [Runner(record, f"i-{n}", service="models", behave=work.stream) for n in "abc"]
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
    sent = [
        asyncio.create_task(
            Client(record, fleet.routers[0].front).send(
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
    await asyncio.gather(*sent)
    while any(runner.running for runner in fleet.runners):
        await asyncio.sleep(0.05)
    doubled = 0
    for request_id, runs in sorted(work.runs.items()):
        for before, after in zip(runs, runs[1:], strict=False):
            if before[1] > after[0] + OVERLAP_S:
                doubled += 1
                record.write(
                    f"{request_id} goes on at another runner at {after[0]:.3f} s, and the runner "
                    f"before works on it until {before[1]:.3f} s"
                )
    record.write(f"{doubled} of {STREAMS} requests were worked on by two runners for over 0.4 s")
    return BROKEN if doubled else HELD


play(case, FOLDER)
