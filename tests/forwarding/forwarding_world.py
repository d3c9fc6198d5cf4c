"""Test environment: a store, runners, forwarders and a caller's requests."""

from __future__ import annotations

import asyncio
from typing import Any, Self

import aiohttp

from gypsumrouter.bootstrap_forwarder import async_setup_forwarder
from gypsumrouter.instances import Address
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.settings import Bounds, ForwarderSettings, Identity, Link
from gypsumrouter.standins import PlatformRunner, PublishedStoreStandin
from gypsumrouter.util.clock import SystemClock

KEY = "a key of the links between routers"
HOST = "api.example"
CALLER_KEY = "key-of-plant"
PROMPT = {
    "X-Model": "m",
    "X-Token-Usage": "1400,80",
    "X-Prefix-Hash": "a1:800,b2:400,c3:200",
}


def make_route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a published route with the path prefix /NAME/."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 3_000,
        "target_latency_ms": 200,
        "target_gap_ms": 200,
        "max_attempts": 2,
        "priority": 1,
        **more,
    }


def make_configuration(version: int = 1, **more: Any) -> dict[str, Any]:
    """Return a published configuration with one route of each kind."""
    return {
        "version": version,
        "routes": [
            make_route("lookup", "idempotent", "records"),
            make_route("reserve", "non_idempotent", "records", max_attempts=1),
            make_route("draft", "streaming", "models", max_attempts=1, timeout_ms=9_000),
            make_route("quote", "streaming", "models", resumable=True),
            make_route("open", "idempotent", "records", public=True),
        ],
        "services": [
            {"name": "records", "max_connections": 90, "health_path": "/health"},
            {
                "name": "models",
                "max_connections": 300,
                "health_path": "/health",
                "engine": {"slots": 64},
            },
        ],
        "tenants": [{"name": "plant", "api_keys": [CALLER_KEY], "priority": 2}],
        "limits": {"max_body_bytes": 100_000},
        **more,
    }


class ForwardingWorld:
    """Starts a store, runners and forwarders on ephemeral ports, and stops them."""

    def __init__(self) -> None:
        self.store = PublishedStoreStandin()
        self.store_address = Address(host="127.0.0.1", port=0)
        self.records = [PlatformRunner(name="i-records-1"), PlatformRunner(name="i-records-2")]
        self.models = [PlatformRunner(name="i-models-1"), PlatformRunner(name="i-models-2")]
        self.addresses: dict[str, Address] = {}
        self.products: list[RunningProcess] = []

    @property
    def product(self) -> RunningProcess:
        """Return the first forwarder."""
        return self.products[0]

    async def async_start(self) -> None:
        """Start the store, the runners and one forwarder, and wait until it is ready."""
        self.store_address = await self.store.async_start()
        for runner in (*self.records, *self.models):
            self.addresses[runner.name] = await runner.async_start()
        await self.async_fill(self.store)
        product = await self.async_start_forwarder("entry-1")
        await self.async_until(product.is_ready)

    async def async_fill(self, store: PublishedStoreStandin) -> None:
        """Write all entries and the configuration, so that equal stores have equal revisions."""
        for service, runners in (("records", self.records), ("models", self.models)):
            for runner in runners:
                await self.async_put_entry(runner, service=service, store=store)
        await store.async_put_configuration(make_configuration())

    async def async_put_entry(
        self,
        runner: PlatformRunner,
        *,
        service: str = "models",
        state: str = "ready",
        store: PublishedStoreStandin | None = None,
    ) -> None:
        """Write the entry of a runner."""
        more: dict[str, Any] = {"version": runner.version}
        if runner.started_ms:
            more["born"] = runner.started_ms
        await (store or self.store).async_put_runner(
            runner.name,
            service=service,
            address=self.addresses[runner.name],
            state=state,
            **more,
        )

    async def async_start_forwarder(self, name: str, **more: Any) -> RunningProcess:
        """Start another forwarder; `more` overrides its settings."""
        settings = ForwarderSettings(
            **{
                "instance": Identity(name=name, data_centre="dc-a", region="r"),
                "link": Link(key_env="GYPSUMROUTER_LINK_KEY"),
                "store": str(self.store_address),
                "bounds": Bounds(retry_slack=30),
                **more,
            }
        )
        product = await async_setup_forwarder(settings=settings, clock=SystemClock())
        self.products.append(product)
        return product

    async def async_stop(self) -> None:
        """Stop all forwarders, the runners and the store."""
        for product in self.products:
            await product.app.async_stop()
        for runner in (*self.records, *self.models):
            await runner.async_stop()
        await self.store.async_stop()

    async def __aenter__(self) -> Self:
        """Start."""
        await self.async_start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop."""
        await self.async_stop()

    def get_configuration_version(self, product: RunningProcess | None = None) -> int:
        """Return the configuration's version at a forwarder, by default the first."""
        section = (product or self.product).app.dump()["routing"]
        assert isinstance(section, dict)
        return int(section["version"])

    async def async_publish(
        self, configuration: dict[str, Any], product: RunningProcess | None = None
    ) -> None:
        """Publish a configuration, and wait until a forwarder applies it."""
        await self.store.async_put_configuration(configuration)
        version = configuration["version"]
        await self.async_until(lambda: self.get_configuration_version(product) == version)

    async def async_until(self, condition: Any) -> None:
        """Wait up to 10 s until a condition holds."""
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.get_running_loop().run_in_executor(None, lambda: None)

    def url(self, path: str, product: RunningProcess | None = None) -> str:
        """Return the URL of a path at a forwarder, by default the first."""
        return f"http://{(product or self.product).addresses['callers']}{path}"

    def headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of a caller's request."""
        return {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "2500",
            "Api-Key": CALLER_KEY,
        }

    async def async_call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        request_id: str,
        *,
        product: RunningProcess | None = None,
        body: bytes | None = None,
        extra: dict[str, str] | None = None,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send one request and return status, body and headers of the response."""
        async with session.request(
            method,
            self.url(path, product),
            headers=self.headers(request_id) | (extra or {}),
            data=body,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        ) as response:
            return response.status, await response.read(), dict(response.headers)

    def arrivals(self, request_id: str) -> list[Any]:
        """Return the arrivals of a request at all runners, grouped by runner."""
        return [
            arrival
            for runner in (*self.records, *self.models)
            for arrival in runner.arrivals
            if arrival.request_id == request_id
        ]
