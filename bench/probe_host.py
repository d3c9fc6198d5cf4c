"""A router or side process that also measures the delays of its event loop."""

from __future__ import annotations

import asyncio
import json
import logging
import sys
import time
from typing import Any, Final

from bench.child import Child, Command, async_serve
from gypsumrouter.bootstrap import ADDRESS_LINK, async_setup
from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.helpers.settings_file import check_linked_settings
from gypsumrouter.instances import Address, parse_address
from gypsumrouter.service import freeze_heap_when_configured

TICK_MS: Final = 1.0


class LoopProbe:
    """Longest delay of the event loop, in wall time and in processor time.

    Processor time is that of the thread of the loop, so it is independent of other processes.
    """

    def __init__(self) -> None:
        self.wall_ms = 0.0
        self.cpu_ms = 0.0

    async def async_run(self) -> None:
        """Measure until cancelled."""
        while True:
            wall_s, cpu_s = time.perf_counter(), time.thread_time()
            await asyncio.sleep(TICK_MS / MS_PER_S)
            self.wall_ms = max(self.wall_ms, (time.perf_counter() - wall_s) * MS_PER_S - TICK_MS)
            self.cpu_ms = max(self.cpu_ms, (time.thread_time() - cpu_s) * MS_PER_S)

    def pop_longest(self) -> dict[str, float]:
        """Return the longest delays since the last call."""
        longest = {"wall_ms": self.wall_ms, "cpu_ms": self.cpu_ms}
        self.wall_ms = self.cpu_ms = 0.0
        return longest


class ProbedProcess:
    """Parent side: controls the process."""

    def __init__(self, *, role: Role, settings: dict[str, Any]) -> None:
        self.role = role
        self.link: Address
        plan = {"role": role, "settings": json.dumps(settings)}
        self._child = Child(module="bench.probe_host", plan=plan)

    async def async_start(self) -> None:
        """Start the process."""
        self.link = parse_address(await self._child.async_start())

    async def async_pop_longest(self) -> dict[str, float]:
        """Return the longest delays of the event loop since the last call."""
        longest: dict[str, float] = await self._child.async_command()
        return longest

    async def async_stop(self) -> None:
        """Stop the process."""
        await self._child.async_stop()


async def async_host(plan: Command) -> None:
    """Run the instance and the probe until the end of standard input."""
    document = plan["settings"].encode()
    product = await async_setup(
        settings=check_linked_settings(role=Role(plan["role"]), document=document)
    )
    freeze_heap_when_configured(product)
    probe = LoopProbe()
    task = asyncio.create_task(probe.async_run())

    async def async_handle_command(_command: Command) -> dict[str, float]:
        return probe.pop_longest()

    await async_serve(str(product.addresses[ADDRESS_LINK]), async_handle_command)
    task.cancel()
    await product.app.async_stop()


if __name__ == "__main__":
    import uvloop

    logging.disable(logging.CRITICAL)
    uvloop.run(async_host(json.loads(sys.argv[1])))
