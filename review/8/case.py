"""Whole streams of a busy runner are cut: it takes no new connection while its queue is long."""

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
    Client,
    Exchange,
    Fleet,
    Record,
    Reply,
    Runner,
    configuration,
    engine,
    play,
    prompt,
    route,
)

SLOTS = 4
LONG_QUEUE = 2
MAX_CONNECTIONS = 24
STREAMS = 15
ROUTERS = 5
EVENTS = 30
GAP_S = 0.1


class BusyRunner(Runner):
    """Runs some requests and queues others; with `fewer`, a long queue ends the accepting."""

    def __init__(self, record: Record, name: str, *, fewer: bool) -> None:
        super().__init__(record, name, service="models", behave=self.stream, slots=SLOTS)
        self._fewer = fewer
        self._free = asyncio.Semaphore(SLOTS)
        self._unframed = SLOTS
        self.waiting = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._fewer and self._unframed < SLOTS and self.waiting > LONG_QUEUE:
            self.record.write(f"runner {self.name} resets a new connection: {self.waiting} wait")
            writer.transport.abort()
            return
        await super()._serve(reader, writer)

    async def stream(self, exchange: Exchange) -> None:
        """Write a stream; the first few long ones have neither a length nor chunks."""
        self.waiting += 1
        async with self._free:
            self.waiting -= 1
            is_short = exchange.path.startswith("/draft/short")
            is_framed = is_short or self._unframed <= 0
            self._unframed -= not is_framed
            framing = {"Transfer_Encoding": "chunked"} if is_framed else {"Connection": "close"}
            load = f"{self.running - self.waiting},{self.waiting},{SLOTS}"
            writer = exchange.writer
            writer.write(
                exchange.head(Content_Type="text/event-stream", X_Server_Load=load, **framing)
            )
            for number in range(1, 2 if is_short else EVENTS + 1):
                await asyncio.sleep(GAP_S)
                event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event) if is_framed else event)
                await writer.drain()
            self.record.write(f"runner {self.name} has written {exchange.request_id} to its end")
            if is_framed:
                writer.write(b"0\r\n\r\n")
            else:
                exchange.close()


async def case(fleet: Fleet, trouble: bool) -> int:
    record = fleet.record
    runner = BusyRunner(record, "i-a", fewer=trouble)
    fleet.runners = [runner]
    await runner.start()
    fleet.publish(runner)
    draft = route(
        "draft",
        "/draft/",
        "models",
        "streaming",
        timeout_ms=30000,
        target_latency_ms=5000,
        sticky=True,
        target_gap_ms=250,
    )
    models = engine("models") | {"max_connections": MAX_CONNECTIONS}
    models["engine"]["slots"] = SLOTS
    fleet.store.put(CONFIG_KEY, configuration(7, [draft], [models]))
    fleet.add_routers(ROUTERS)
    for router in fleet.routers:
        await router.start(bootstrap=True)
    for router in fleet.routers:
        await router.wait_ready()
    # Calm for longer than stable_window_ms.
    await asyncio.sleep(3.5)

    async def send_all(name: str) -> list[Reply]:
        return await asyncio.gather(
            *(
                Client(record, fleet.routers[number % ROUTERS].front).send(
                    f"/draft/{name}/{number}",
                    f"{name}-{number}",
                    headers=prompt(f"a{number}", f"b{number}"),
                    deadline_ms=25000,
                )
                for number in range(STREAMS)
            )
        )

    # From here on the routers have open connections, which carry the next requests.
    await send_all("short")
    for router in fleet.routers:
        router.signal(signal.SIGHUP)
    await asyncio.sleep(0.2)
    replies = await send_all("long")
    cut = [reply for reply in replies if reply.status == 200 and not reply.complete]
    record.write(f"{len(cut)} of {len(replies)} streams were cut")
    return BROKEN if cut else HELD


play(case, FOLDER)
