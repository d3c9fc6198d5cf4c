"""TCP proxy that injects faults: delay, bandwidth, cuts, silence, blocks, refusals."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from gypsumrouter.instances import Address
from gypsumrouter.standins.listener import PortHolder
from gypsumrouter.standins.pipes import BOTH_WAYS, End, Pipe, Way, WayConditions
from gypsumrouter.util.clock import Clock, SystemClock


class Connection:
    """One proxied connection: a caller's end, a target's end, and a task for each way."""

    __slots__ = ("_pipes", "_tasks", "caller", "target")

    def __init__(
        self,
        *,
        clock: Clock,
        conditions: dict[Way, WayConditions],
        on_made: Callable[[], None],
    ) -> None:
        self._pipes = {way: Pipe(clock=clock, conditions=conditions[way]) for way in Way}
        self._tasks: list[asyncio.Task[None]] = []
        self.caller = End(pipe=self._pipes[Way.FORWARD], on_made=on_made, on_lost=self._end_lost)
        self.target = End(pipe=self._pipes[Way.BACK], on_made=lambda: None, on_lost=self._end_lost)

    @property
    def is_over(self) -> bool:
        """Return whether both ends are gone."""
        return self.caller.lost and (self.target.lost or self.target.transport is None)

    async def async_run(self, target: Address, gates: Collection[WayConditions]) -> None:
        """Connect to the target once both ways are passable, and carry data until the end."""
        for conditions in gates:
            await conditions.gate.async_pass()
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.target, target.host, target.port)
        except OSError:
            self.caller.reset()
            return
        if self.caller.lost:
            self.target.reset()
            return
        forward = self._pipes[Way.FORWARD].async_run(source=self.caller, sink=self.target)
        back = self._pipes[Way.BACK].async_run(source=self.target, sink=self.caller)
        self._tasks = [loop.create_task(forward), loop.create_task(back)]
        for end in (self.caller, self.target):
            end.set_reading(not end.pipe.is_full)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def fall_silent(self, ways: Collection[Way]) -> None:
        """Pass nothing any more in the given ways, not even the end of the connection."""
        for way in ways:
            self._pipes[way].fall_silent()
            end = self.caller if way is Way.FORWARD else self.target
            end.set_reading(False)

    def reset(self) -> None:
        """Reset both ends."""
        for task in self._tasks:
            task.cancel()
        self.caller.reset()
        self.target.reset()

    def _end_lost(self) -> None:
        if self.is_over:
            for task in self._tasks:
                task.cancel()


class FaultProxy:
    """Stand between callers and one target, and pass everything on until told otherwise.

    Times are whole milliseconds. A proxy holds a bounded number of bytes for each connection and
    way; beyond it, it reads no more.
    """

    __slots__ = (
        "_clock",
        "_conditions",
        "_connections",
        "_holder",
        "_host",
        "_new_silent",
        "_port",
        "_server",
        "_tasks",
        "accepted",
        "target",
    )

    def __init__(
        self,
        *,
        target: Address,
        clock: Clock | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self.target = target
        self._clock = clock or SystemClock()
        self._host = host
        self._port = port
        self._conditions = {way: WayConditions(clock=self._clock) for way in Way}
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._holder: PortHolder | None = None
        self._server: asyncio.Server | None = None
        self._new_silent: frozenset[Way] = frozenset()
        self.accepted = 0

    @property
    def address(self) -> Address:
        """Return where it listens."""
        if self._holder is None:
            raise RuntimeError("the proxy was not started")
        return self._holder.address

    @property
    def connections(self) -> int:
        """Return how many connections are open at one end at least."""
        return len(self._connections)

    async def async_start(self) -> Address:
        """Start to listen and return the address."""
        self._holder = PortHolder(host=self._host, port=self._port)
        await self.async_accept()
        return self._holder.address

    async def async_stop(self) -> None:
        """Reset everything and stop to listen."""
        self.refuse()
        self.cut()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._holder is not None:
            self._holder.close()

    def get_passed_bytes(self, way: Way) -> int:
        """Return how many bytes have gone one way."""
        return self._conditions[way].passed_bytes

    def set_delay(self, delay_ms: int, *, ways: Collection[Way] = BOTH_WAYS) -> None:
        """Delay all that comes from now on."""
        for way in ways:
            self._conditions[way].delay_ms = delay_ms

    def set_bandwidth(
        self, bytes_per_s: float | None, *, ways: Collection[Way] = BOTH_WAYS
    ) -> None:
        """Limit the bytes a second of all connections together; None ends it."""
        for way in ways:
            self._conditions[way].bytes_per_s = bytes_per_s

    def cut(self) -> int:
        """Reset every connection; returns how many there were."""
        connections = tuple(self._connections)
        for connection in connections:
            connection.reset()
        return len(connections)

    def refuse(self) -> None:
        """Refuse new connections; open ones go on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def async_accept(self) -> None:
        """Take new connections again, on the same port."""
        if self._server is not None or self._holder is None:
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, sock=self._holder.open_listener())

    def silence(self, *, ways: Collection[Way] = BOTH_WAYS, new: bool = False) -> None:
        """Let open connections pass nothing any more, for good and without any sign of it.

        With `new`, connections that come before the proxy is healed are silent too.
        """
        for connection in self._connections:
            connection.fall_silent(ways)
        if new:
            self._new_silent = frozenset(ways)

    def block(self, *, ways: Collection[Way] = BOTH_WAYS) -> None:
        """Hold all data, of open and new connections, until `unblock`."""
        for way in ways:
            self._conditions[way].gate.close()

    def unblock(self) -> None:
        """Let the data that was held go on, as after a partition."""
        for conditions in self._conditions.values():
            conditions.gate.open()

    async def async_heal(self) -> None:
        """End every fault; only connections that fell silent stay so."""
        self.set_delay(0)
        self.set_bandwidth(None)
        self._new_silent = frozenset()
        self.unblock()
        await self.async_accept()

    def _accept(self) -> End:
        connection = Connection(
            clock=self._clock,
            conditions=self._conditions,
            on_made=lambda: self._serve(connection),
        )
        connection.fall_silent(self._new_silent)
        return connection.caller

    def _serve(self, connection: Connection) -> None:
        self.accepted += 1
        self._connections.add(connection)
        task = asyncio.get_running_loop().create_task(self._async_serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_serve(self, connection: Connection) -> None:
        try:
            await connection.async_run(self.target, self._conditions.values())
        finally:
            connection.reset()
            self._connections.discard(connection)
