"""A process with many lightweight peers, controlled by lines of JSON on standard input."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import sys
from typing import Any

from msgspec import Struct, to_builtins

from bench.child import Child, Command, async_serve
from bench.light_peers import LightPeer, LightRouters
from bench.target_scale import Location
from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.instances import Address, Instance


class PeerPlan(Struct, frozen=True, kw_only=True):
    """The peers to run in one process; `places` are names with data centre and region."""

    role: Role
    places: tuple[Location, ...]
    key: str
    model: str
    pool: str
    workspace: str
    caller_class: str


class PeerHost:
    """Parent side: controls one process of lightweight peers."""

    def __init__(self, *, plan: PeerPlan) -> None:
        self.plan = plan
        self.instances: tuple[Instance, ...] = ()
        self._child = Child(module="bench.peer_host", plan=to_builtins(plan))

    async def async_start(self) -> None:
        """Start the process and read the ports of its peers."""
        ports: list[int] = await self._child.async_start()
        self.instances = tuple(
            Instance(
                name=name,
                role=self.plan.role,
                address=Address(host="127.0.0.1", port=port),
                data_centre=data_centre,
                region=region,
                pool=self.plan.pool if self.plan.role is Role.SIDE else "",
            )
            for (name, data_centre, region), port in zip(self.plan.places, ports, strict=True)
        )

    async def async_command(self, **command: Any) -> dict[str, int]:
        """Send a command and return the request counts so far."""
        counts: dict[str, int] = await self._child.async_command(**command)
        return counts

    async def async_stop(self) -> None:
        """Stop the process."""
        await self._child.async_stop()


class PeerCommandHandler:
    """Child side: runs the peers and handles commands of the parent."""

    def __init__(self, *, plan: PeerPlan) -> None:
        self._plan = plan
        self._peers = [
            LightPeer(
                name=name,
                role=plan.role,
                data_centre=data_centre,
                region=region,
                key=plan.key.encode(),
            )
            for name, data_centre, region in plan.places
        ]
        self._routers: LightRouters | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._interval_ms = 0.0

    async def async_start(self) -> list[int]:
        """Start all peers and return their ports."""
        addresses = [await peer.async_start() for peer in self._peers]
        if self._plan.role is Role.SIDE:
            for peer in self._peers:
                peer.publish_status(model=self._plan.model, number=0)
            self._tasks.append(asyncio.create_task(self._async_publish()))
        return [address.port for address in addresses]

    async def async_handle_command(self, command: Command) -> dict[str, int]:
        """Handle one command and return the request counts so far."""
        if "target" in command:
            self._set_target(command["target"])
        if "interval_ms" in command:
            self._interval_ms = command["interval_ms"]
        if self._routers is None:
            return {}
        if command.get("link"):
            await self._routers.async_open_links()
        if "burst" in command:
            self._routers.start_requests(count=command["burst"], tokens=command["tokens"])
        if "rate_s" in command:
            self._routers.rate_s = command["rate_s"]
            self._routers.tokens = command["tokens"]
        return {"whole": self._routers.completed, "broken": self._routers.failed}

    def _set_target(self, target: Command) -> None:
        self._routers = LightRouters(
            peers=self._peers,
            target=Instance(
                name=target["name"],
                role=Role.SIDE,
                address=Address(host=target["host"], port=target["port"]),
                data_centre="",
                region="",
                pool=self._plan.pool,
            ),
            model=self._plan.model,
            workspace=self._plan.workspace,
            caller_class=self._plan.caller_class,
        )
        self._tasks.append(asyncio.create_task(self._routers.async_send_continuously()))

    async def _async_publish(self) -> None:
        """Send a changed status from each side once per interval, spread over the interval."""
        number = 0
        order = random.Random(0).sample(self._peers, len(self._peers))
        while True:
            if self._interval_ms <= 0:
                await asyncio.sleep(0.1)
                continue
            number += 1
            for peer in order:
                await asyncio.sleep(self._interval_ms / MS_PER_S / len(order))
                peer.publish_status(model=self._plan.model, number=number)


async def async_host(plan: PeerPlan) -> None:
    """Run the peers until the end of standard input."""
    handler = PeerCommandHandler(plan=plan)
    await async_serve(await handler.async_start(), handler.async_handle_command)


def parse_plan(text: str) -> PeerPlan:
    """Parse the JSON plan passed by the parent."""
    fields = json.loads(text)
    fields["role"] = Role(fields["role"])
    fields["places"] = tuple(tuple(place) for place in fields["places"])
    return PeerPlan(**fields)


if __name__ == "__main__":
    import uvloop

    logging.disable(logging.CRITICAL)
    uvloop.run(async_host(parse_plan(sys.argv[1])))
