"""TCP proxy that injects delays, bandwidth limits, resets, blackholes, blocks and refusals."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from gypsumrouter.instances import Address
from gypsumrouter.standins.listener import PortReservation
from gypsumrouter.standins.pipes import BOTH_DIRECTIONS, Direction, Endpoint, Pipe, TrafficShaper
from gypsumrouter.util.clock import Clock, SystemClock


class Connection:
    """One proxied connection: the endpoints of caller and target, and a task per direction."""

    __slots__ = ("_pipes", "_tasks", "caller", "target")

    def __init__(
        self,
        *,
        clock: Clock,
        shapers: dict[Direction, TrafficShaper],
        on_connected: Callable[[], None],
    ) -> None:
        self._pipes = {
            direction: Pipe(clock=clock, shaper=shapers[direction]) for direction in Direction
        }
        self._tasks: list[asyncio.Task[None]] = []
        self.caller = Endpoint(
            pipe=self._pipes[Direction.FORWARD],
            on_connected=on_connected,
            on_lost=self._stop_when_closed,
        )
        self.target = Endpoint(
            pipe=self._pipes[Direction.BACK],
            on_connected=lambda: None,
            on_lost=self._stop_when_closed,
        )

    @property
    def is_closed(self) -> bool:
        """Return whether both endpoints are closed."""
        return self.caller.lost and (self.target.lost or self.target.transport is None)

    async def async_run(self, target: Address, shapers: Collection[TrafficShaper]) -> None:
        """Connect to the target once neither direction is blocked, and relay data both ways."""
        for shaper in shapers:
            await shaper.gate.async_wait_open()
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.target, target.host, target.port)
        except OSError:
            self.caller.reset()
            return
        if self.caller.lost:
            self.target.reset()
            return
        forward = self._pipes[Direction.FORWARD].async_run(source=self.caller, sink=self.target)
        back = self._pipes[Direction.BACK].async_run(source=self.target, sink=self.caller)
        self._tasks = [loop.create_task(forward), loop.create_task(back)]
        for endpoint in (self.caller, self.target):
            endpoint.set_reading(not endpoint.pipe.is_full)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def blackhole(self, directions: Collection[Direction]) -> None:
        """Discard all further data in the given directions, EOF and resets included."""
        for direction in directions:
            self._pipes[direction].blackhole()
            endpoint = self.caller if direction is Direction.FORWARD else self.target
            endpoint.set_reading(False)

    def reset(self) -> None:
        """Reset both endpoints."""
        for task in self._tasks:
            task.cancel()
        self.caller.reset()
        self.target.reset()

    def _stop_when_closed(self) -> None:
        if self.is_closed:
            for task in self._tasks:
                task.cancel()


class FaultProxy:
    """Relays connections to one target, unmodified while no fault is set.

    Times are in whole milliseconds. For each connection and direction at most about
    `MAX_BUFFERED_BYTES` are buffered; beyond that, reading pauses. `accepted` counts the accepted
    connections.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_host",
        "_new_blackholed",
        "_port",
        "_reservation",
        "_server",
        "_shapers",
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
        self._shapers = {direction: TrafficShaper(clock=self._clock) for direction in Direction}
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._reservation: PortReservation | None = None
        self._server: asyncio.Server | None = None
        self._new_blackholed: frozenset[Direction] = frozenset()
        self.accepted = 0

    @property
    def address(self) -> Address:
        """Return the address of the listener."""
        if self._reservation is None:
            raise RuntimeError("proxy has no address: async_start has not been called")
        return self._reservation.address

    @property
    def connections(self) -> int:
        """Return the number of connections with at least one open endpoint."""
        return len(self._connections)

    async def async_start(self) -> Address:
        """Start listening and return the address."""
        self._reservation = PortReservation(host=self._host, port=self._port)
        await self.async_accept_connections()
        return self._reservation.address

    async def async_stop(self) -> None:
        """Reset all connections, stop listening and release the port."""
        self.refuse_connections()
        self.reset_connections()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._reservation is not None:
            self._reservation.close()

    def get_forwarded_bytes(self, direction: Direction) -> int:
        """Return the number of bytes forwarded in one direction."""
        return self._shapers[direction].forwarded_bytes

    def set_delay(
        self, delay_ms: int, *, directions: Collection[Direction] = BOTH_DIRECTIONS
    ) -> None:
        """Delay data that is received from now on."""
        for direction in directions:
            self._shapers[direction].delay_ms = delay_ms

    def set_bandwidth(
        self, bytes_per_s: float | None, *, directions: Collection[Direction] = BOTH_DIRECTIONS
    ) -> None:
        """Limit the total bandwidth of all connections; None removes the limit."""
        for direction in directions:
            self._shapers[direction].bytes_per_s = bytes_per_s

    def reset_connections(self) -> int:
        """Reset all connections and return their number."""
        connections = tuple(self._connections)
        for connection in connections:
            connection.reset()
        return len(connections)

    def refuse_connections(self) -> None:
        """Refuse new connections; open ones are not affected."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def async_accept_connections(self) -> None:
        """Accept new connections again on the same port."""
        if self._server is not None or self._reservation is None:
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept_connection, sock=self._reservation.open_listener()
        )

    def blackhole(
        self, *, directions: Collection[Direction] = BOTH_DIRECTIONS, include_new: bool = False
    ) -> None:
        """Discard all further data of the open connections without closing them.

        With `include_new`, this also applies to connections accepted before the faults are cleared.
        """
        for connection in self._connections:
            connection.blackhole(directions)
        if include_new:
            self._new_blackholed = frozenset(directions)

    def block(self, *, directions: Collection[Direction] = BOTH_DIRECTIONS) -> None:
        """Hold all data of open and new connections until `unblock`."""
        for direction in directions:
            self._shapers[direction].gate.close()

    def unblock(self) -> None:
        """Deliver the held data and stop blocking, as after a partition."""
        for shaper in self._shapers.values():
            shaper.gate.open()

    async def async_clear_faults(self) -> None:
        """End all faults; connections that were blackholed remain so."""
        self.set_delay(0)
        self.set_bandwidth(None)
        self._new_blackholed = frozenset()
        self.unblock()
        await self.async_accept_connections()

    def _accept_connection(self) -> Endpoint:
        connection = Connection(
            clock=self._clock,
            shapers=self._shapers,
            on_connected=lambda: self._serve(connection),
        )
        connection.blackhole(self._new_blackholed)
        return connection.caller

    def _serve(self, connection: Connection) -> None:
        self.accepted += 1
        self._connections.add(connection)
        task = asyncio.get_running_loop().create_task(self._async_serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_serve(self, connection: Connection) -> None:
        try:
            await connection.async_run(self.target, self._shapers.values())
        finally:
            connection.reset()
            self._connections.discard(connection)
