"""A process with many lightweight members: instance list, links and configuration only."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import sys
from typing import Final

from bench.child import Child, Command, async_serve
from bench.target_scale import Location
from gypsumrouter.configuration import ConfigurationReplicator, ConfigurationStore
from gypsumrouter.configuration.models import Configuration
from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.core import Application
from gypsumrouter.fleet import Address, Fleet, HttpInstanceListSource, Instance
from gypsumrouter.link import LinkPool, LinkServer, NoticeHub
from gypsumrouter.settings import Link, Platform

ANSWER_MEMORY_BYTES: Final = 1024 * 1024

Events = dict[str, list[tuple[int, int]]]


class LightMember:
    """An instance that only replicates the configuration."""

    def __init__(self, *, location: Location, role: Role, key: bytes) -> None:
        name, data_centre, region = location
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
        """Start the link listener and return its address."""
        self.app.async_start()
        return await self._server.async_start()

    async def async_join(self, platform: Platform) -> None:
        """Start reading the platform and replicating the configuration."""
        source = HttpInstanceListSource(app=self.app, settings=platform)
        fleet = Fleet(app=self.app, settings=platform, source=source)
        self._pool.on_connect_attempt(fleet.record_contact)
        store = ConfigurationStore(app=self.app)
        store.on_change(self._record_version)
        replicator = ConfigurationReplicator(
            app=self.app,
            settings=platform,
            store=store,
            fleet=fleet,
            pool=self._pool,
            notices=self._notices,
        )
        await fleet.async_start()
        await replicator.async_start()
        self.app.async_started()

    def _record_version(self, configuration: Configuration) -> None:
        self.in_force.append((configuration.version, self.app.clock.wall_ms()))


class MemberHost:
    """Parent side: controls one process of lightweight members."""

    def __init__(self, *, role: Role, locations: list[Location], key: str) -> None:
        self._role = role
        self._locations = locations
        plan = {"role": role, "places": locations, "key": key}
        self._child = Child(module="bench.member_host", plan=plan)

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._child.pid

    async def async_start(self) -> list[Instance]:
        """Start the process and return the instance list entries of its members."""
        ports: list[int] = await self._child.async_start()
        return [
            Instance(
                name=name,
                role=self._role,
                address=Address(host="127.0.0.1", port=port),
                data_centre=data_centre,
                region=region,
            )
            for (name, data_centre, region), port in zip(self._locations, ports, strict=True)
        ]

    async def async_join(self, *, platform: dict[str, list[str]], spacing_ms: float) -> None:
        """Make all members join one after another."""
        await self._child.async_command(platform=platform, join_ms=spacing_ms)

    async def async_get_events(self) -> Events:
        """Return the versions and the times at which they came into force, by member."""
        events: Events = await self._child.async_command()
        return events

    async def async_stop(self) -> None:
        """Stop the process."""
        await self._child.async_stop()


async def async_host(plan: Command) -> None:
    """Run the members until the end of standard input."""
    members = [
        LightMember(
            location=tuple(location),
            role=Role(plan["role"]),
            key=plan["key"].encode(),
        )
        for location in plan["places"]
    ]
    addresses = [await member.async_listen() for member in members]

    async def async_handle_command(command: Command) -> object:
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

    await async_serve([address.port for address in addresses], async_handle_command)
    # Exit without stopping each member: nothing outside the process has to be released.
    os._exit(0)


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    # Not uvloop: it aborts the process when this many connections time out at once.
    asyncio.run(async_host(json.loads(sys.argv[1])))
