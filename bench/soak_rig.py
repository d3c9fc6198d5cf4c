"""The soak's rig: forwarders as processes, stand-ins and fault proxies around them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any, Final

from bench.processes import DaemonProcess, async_start_daemon
from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.instances import Address
from gypsumrouter.platform import names
from gypsumrouter.standins import FaultProxy, PlatformRunner, PublishedStoreStandin
from gypsumrouter.standins.listener import PortReservation
from gypsumrouter.standins.platform_runner import Arrival

ENV_KEY: Final = "GYPSUMROUTER_LINK_KEY"
KEY: Final = "the key of the soak's links"
CALLER_KEY: Final = "key-of-plant"
WORKSPACE: Final = "plant"
HOST: Final = "api.example"
FORWARDERS: Final = 3
RUNNERS: Final = 3
EVENTS: Final = 12
EVENT_STARTED: Final = "process_started"
# With places, runners stand in several data centres, and new engines are cold for so long.
DATA_CENTRES: Final = ("dc-a", "dc-b", "dc-c")
COLD_S: Final = 1.5
COLD_PER_S: Final = 3.0
COLD_FACTOR: Final = 1.5
COLD_SLACK: Final = 2.0
MAX_COLD: Final = COLD_PER_S * COLD_FACTOR + COLD_SLACK


class SoakRig:
    """Starts, kills and restarts forwarders by their own ids, always on the same ports.

    With `places` there are several data centres, which may be evacuated, and engines start cold.
    """

    def __init__(self, *, folder: Path, places: bool = False) -> None:
        self._places = places
        # The data centre of each runner, by its id.
        self.data_centres: dict[str, str] = {}
        self._folder = folder
        self.store = PublishedStoreStandin()
        self.store_proxies: list[FaultProxy] = []
        self.runners: dict[str, list[PlatformRunner]] = {
            service: [
                PlatformRunner(name=f"i-{service}-{number}", events=EVENTS)
                for number in range(RUNNERS)
            ]
            for service in ("records", "models")
        }
        self.runner_proxies: list[FaultProxy] = []
        # The tasks that copy what forwarders write, by their number.
        self._copies: dict[int, asyncio.Task[None]] = {}
        self.forwarders: list[DaemonProcess | None] = [None] * FORWARDERS
        # Bound for the whole run: another run's listener on a port that is free for a moment would
        # be called by forwarders that mean this one.
        self._held = [
            (PortReservation(host="127.0.0.1", port=0), PortReservation(host="127.0.0.1", port=0))
            for _ in range(FORWARDERS)
        ]
        self._ports = [(c.address.port, link.address.port) for c, link in self._held]
        self._runner_addresses: dict[str, Address] = {}
        self.retired: list[PlatformRunner] = []
        # When each forwarder ended, was started, or went on after a freeze; monotonic seconds.
        self.broken_s: dict[int, list[float]] = {number: [] for number in range(FORWARDERS)}
        self.version = 1

    async def async_start(self) -> None:
        """Start everything and wait until all forwarders are ready."""
        address = await self.store.async_start()
        for _ in range(FORWARDERS):
            proxy = FaultProxy(target=address)
            await proxy.async_start()
            self.store_proxies.append(proxy)
        for service, runners in self.runners.items():
            for place, runner in enumerate(runners):
                self._locate(runner, place)
                await self.async_add_runner(service, runner)
        await self.async_configure()
        starts = (self.async_start_forwarder(number) for number in range(FORWARDERS))
        # Each start is waited for, so that a failed one leaves no process behind.
        for failure in await asyncio.gather(*starts, return_exceptions=True):
            if isinstance(failure, BaseException):
                raise failure

    async def async_add_runner(self, service: str, runner: PlatformRunner) -> None:
        """Start a runner behind a proxy and list it."""
        proxy = FaultProxy(target=await runner.async_start())
        self._runner_addresses[runner.name] = await proxy.async_start()
        self.runner_proxies.append(proxy)
        await self.async_list_runner(service, runner, state="ready")

    async def async_list_runner(self, service: str, runner: PlatformRunner, *, state: str) -> None:
        """Write a runner's entry."""
        address = self._runner_addresses[runner.name]
        cold_ms = max(0, round((runner.slow_start_until_s - time.monotonic()) * MS_PER_S))
        await self.store.async_put_runner(
            runner.name,
            service=service,
            address=address,
            state=state,
            slots=6,
            zone=self.data_centres[runner.name],
            cold_left_ms=cold_ms,
        )

    async def async_list_all(self) -> None:
        """Write the entries of all runners that do not leave again, as they are."""
        for service, runners in self.runners.items():
            for runner in tuple(runners):
                await self.async_list_runner(service, runner, state="ready")

    def _locate(self, runner: PlatformRunner, place: int) -> None:
        self.data_centres[runner.name] = DATA_CENTRES[place] if self._places else DATA_CENTRES[0]

    async def async_evacuate(self, data_centre: str) -> None:
        """Ask that nothing new is sent to a data centre."""
        await self.store.async_put(f"{names.PREFIX_EVACUATIONS}{data_centre}", {})

    async def async_reopen(self, data_centre: str) -> None:
        """Take a data centre back."""
        await self.store.async_remove(f"{names.PREFIX_EVACUATIONS}{data_centre}")

    async def async_replace_runner(
        self, service: str, place: int, *, listed_after_s: float = 0.0, says_so: bool = True
    ) -> None:
        """Let a new runner take a place; the old one leaves and answers what it has.

        It says so in its answers at once, unless only its entry does, which is written after a
        while.
        """
        old = self.runners[service][place]
        new = PlatformRunner(name=f"{old.name}x", events=EVENTS)
        self.runners[service][place] = new
        self.retired.append(old)
        self._locate(new, place)
        if self._places and service == "models":
            new.slow_start_until_s = time.monotonic() + COLD_S
        await self.async_add_runner(service, new)
        old.draining = says_so
        await asyncio.sleep(listed_after_s)
        await self.async_list_runner(service, old, state="draining")

    async def async_configure(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        kinds = {"lookup": "idempotent", "reserve": "non_idempotent"}
        routes = [_make_route(name, kind, "records") for name, kind in kinds.items()]
        routes.append(_make_route("draft", "streaming", "models"))
        routes.append(_make_route("quote", "streaming", "models", resumable=True))
        await self.store.async_put_configuration(
            {
                "version": self.version,
                "routes": routes,
                "services": [{"name": "records"}, self._make_models()],
                "tenants": [{"name": WORKSPACE, "api_keys": [CALLER_KEY]}],
            }
        )

    def _make_models(self) -> dict[str, Any]:
        cold = {"cold_start_s": COLD_S, "cold_per_s": COLD_PER_S} if self._places else {}
        return {"name": "models", "engine": {"slots": 64}, **cold}

    async def async_start_forwarder(self, number: int) -> None:
        """Start a forwarder on its ports."""
        callers, link = self._ports[number]
        settings = {
            "instance": {"name": f"entry-{number}", "data_centre": "dc-a", "region": "r"},
            "callers": f"127.0.0.1:{callers}",
            "link_address": f"127.0.0.1:{link}",
            "link": {"key_env": ENV_KEY},
            "seeds": [f"127.0.0.1:{other}" for _, other in self._ports],
            "store": str(self.store_proxies[number].address),
            "bounds": {
                "stop_ms": 4_000,
                "warm_up_factor": COLD_FACTOR,
                "warm_up_slack": COLD_SLACK,
            },
            "log": {"format": "json"},
        }
        process = await async_start_daemon(
            role=Role.FORWARDER, settings=settings, folder=self._folder
        )
        self.forwarders[number] = process
        self.broken_s[number].append(time.monotonic())
        await self._async_follow(number, process)

    async def _async_follow(self, number: int, process: DaemonProcess) -> None:
        """Copy what a process writes, after all that the one before it wrote."""
        earlier = self._copies.get(number)
        if earlier is not None:
            await earlier
        journal = self._folder / f"journal-{number}.log"
        with journal.open("a") as file:
            # The line of the start itself is read by who waits for it.
            file.write(json.dumps({"event": EVENT_STARTED, "instance": f"entry-{number}"}) + "\n")
        self._copies[number] = asyncio.create_task(
            _async_copy(process, journal), name=f"journal {number}"
        )

    async def async_end_forwarder(self, number: int, how: signal.Signals) -> None:
        """Send a signal that ends a forwarder and wait for its end."""
        process, self.forwarders[number] = self.forwarders[number], None
        if process is None or process.process.returncode is not None:
            return
        process.send_signal(how)
        await process.process.wait()
        self.broken_s[number].append(time.monotonic())

    def url(self, number: int, path: str) -> str:
        """Return the address of a path at a forwarder."""
        return f"http://127.0.0.1:{self._ports[number][0]}{path}"

    def list_runners(self) -> list[PlatformRunner]:
        """Return all runners, those that were replaced too."""
        return [*self.retired, *(r for runners in self.runners.values() for r in runners)]

    def list_arrivals(self) -> list[Arrival]:
        """Return everything that arrived at any runner."""
        return [arrival for runner in self.list_runners() for arrival in runner.arrivals]

    def read_journals(self) -> list[dict[str, Any]]:
        """Return the lines of all forwarders."""
        lines: list[dict[str, Any]] = []
        for path in sorted(self._folder.glob("journal-*.log")):
            for text in path.read_text(errors="replace").splitlines():
                try:
                    lines.append(json.loads(text))
                except ValueError:
                    # A process that is killed may leave half a line.
                    continue
        return lines

    async def async_stop(self) -> None:
        """End what this rig started, by its ids."""
        for number in range(FORWARDERS):
            await self.async_end_forwarder(number, signal.SIGKILL)
        for proxy in (*self.store_proxies, *self.runner_proxies):
            await proxy.async_stop()
        for runner in self.list_runners():
            await runner.async_stop()
        await self.store.async_stop()
        for holders in self._held:
            for holder in holders:
                holder.close()


def _make_route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 2_500,
        "target_latency_ms": 150,
        "target_gap_ms": 150,
        "max_attempts": 2,
        **more,
    }


async def _async_copy(process: DaemonProcess, journal: Path) -> None:
    """Copy what a process writes, so that its pipe never fills."""
    stdout = process.process.stdout
    if stdout is None:
        return
    with journal.open("ab") as file:
        while line := await stdout.readline():
            file.write(line)


if sys.platform != "linux":
    raise SystemExit(f"the soak needs Linux, not {os.name}")
