"""Many light processes in one: the list, the links and the configuration, without any requests."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import sys
from typing import Final

from bench.child import Child, Command, async_serve
from bench.two_year import Place
from gypsumrouter.configuration import ConfigurationSpread, ConfigurationStore
from gypsumrouter.configuration.models import Configuration
from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.core import Application
from gypsumrouter.fleet import Address, Fleet, HttpInstanceListSource, Instance
from gypsumrouter.link import LinkPool, LinkServer, NoticeHub
from gypsumrouter.settings import Link, Platform

ANSWER_MEMORY_BYTES: Final = 1024 * 1024

Events = dict[str, list[tuple[int, int]]]


class LightMember:
    """One instance of the fleet that only keeps its configuration in step."""

    def __init__(self, *, place: Place, role: Role, key: bytes) -> None:
        name, data_centre, region = place
        self.app = Application(name=name, role=role, data_centre=data_centre, region=region)
        self.in_force: list[tuple[int, int]] = []
        self._notices = NoticeHub(app=self.app)
        self._pool = LinkPool(app=self.app, settings=Link(), key=key, notices=self._notices)
        self._server = LinkServer(
            app=self.app,
            settings=Link(),
            key=key,
            notices=self._notices,
            handler=None,
            answer_memory_bytes=ANSWER_MEMORY_BYTES,
        )

    async def async_listen(self) -> Address:
        """Listen for links and return the address."""
        self.app.async_start()
        return await self._server.async_start()

    async def async_join(self, platform: Platform) -> None:
        """Begin to read the platform and to talk to neighbours."""
        source = HttpInstanceListSource(app=self.app, settings=platform)
        fleet = Fleet(app=self.app, settings=platform, source=source)
        self._pool.on_connect_attempt(fleet.note_contact)
        store = ConfigurationStore(app=self.app)
        store.on_change(self._note)
        spread = ConfigurationSpread(
            app=self.app,
            settings=platform,
            store=store,
            fleet=fleet,
            pool=self._pool,
            notices=self._notices,
        )
        await fleet.async_start()
        await spread.async_start()
        self.app.async_started()

    def _note(self, configuration: Configuration) -> None:
        self.in_force.append((configuration.version, self.app.clock.wall_ms()))


class MemberHost:
    """The parent's end of one process of light members."""

    def __init__(self, *, role: Role, places: list[Place], key: str) -> None:
        self._role = role
        self._places = places
        plan = {"role": role, "places": places, "key": key}
        self._child = Child(module="bench.member_host", plan=plan)

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        return self._child.pid

    async def async_start(self) -> list[Instance]:
        """Start the process and return its members as the list should name them."""
        ports: list[int] = await self._child.async_start()
        return [
            Instance(
                name=name,
                role=self._role,
                address=Address(host="127.0.0.1", port=port),
                data_centre=data_centre,
                region=region,
            )
            for (name, data_centre, region), port in zip(self._places, ports, strict=True)
        ]

    async def async_join(self, *, platform: dict[str, list[str]], spacing_ms: float) -> None:
        """Have all members join, one after the other."""
        await self._child.async_command(platform=platform, join_ms=spacing_ms)

    async def async_read(self) -> Events:
        """Return which versions came into force when, by member."""
        events: Events = await self._child.async_command()
        return events

    async def async_stop(self) -> None:
        """End the process."""
        await self._child.async_stop()


async def async_host(plan: Command) -> None:
    """Run the members until the standard input ends."""
    members = [
        LightMember(
            place=tuple(place),
            role=Role(plan["role"]),
            key=plan["key"].encode(),
        )
        for place in plan["places"]
    ]
    addresses = [await member.async_listen() for member in members]

    async def async_follow(command: Command) -> object:
        if "join_ms" in command:
            platform = Platform(
                configuration=tuple(command["platform"]["configuration"]),
                instances=tuple(command["platform"]["instances"]),
            )
            for member in members:
                await member.async_join(platform)
                await asyncio.sleep(command["join_ms"] / MS_PER_S)
            return {}
        return {member.app.name: member.in_force for member in members}

    await async_serve([address.port for address in addresses], async_follow)
    # Everything here is in memory, so there is nothing to release member by member.
    os._exit(0)


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    # Not uvloop: with this many connections timing out at once it has aborted the process.
    asyncio.run(async_host(json.loads(sys.argv[1])))
