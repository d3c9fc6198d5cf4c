"""Shared parts of the scripts: starts forwarders of the deploy file, with stand-ins on loopback.

The store, the runners and the clients are small stand-ins in this process. Everything that is sent,
answered and run is written to the record of the case, with the time since its start.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
CONFIG_KEY = "op/config"
_given_ports: set[int] = set()


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The lines of record.txt."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._begun = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._begun

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()


def find_port() -> int:
    """Return a free port below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randint(12_000, 30_000)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


def to_base64(document: object) -> str:
    return base64.b64encode(json.dumps(document).encode()).decode()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, in lowercase, of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    return first, {n.strip().lower(): v.strip() for n, _, v in (x.partition(":") for x in lines)}


class Store:
    """The platform's store: reads and watches of what the script writes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 100
        self.era = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.changed = asyncio.Event()
        self.away = False
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, key: str, document: object, *, note: bool = True) -> None:
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": to_base64(document),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._add(item)
        if note:
            self.record.write(f"store acknowledges revision {self.revision}: {key} = {document}")

    def remove(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key, None)
        self._add({"key": key, "revision": self.revision, "tombstone": True})
        self.record.write(f"store acknowledges revision {self.revision}: {key} removed")

    def _add(self, event: dict) -> None:
        self.history.append(event)
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def snapshot(self) -> tuple[dict, list, int]:
        return dict(self.items), list(self.history), self.revision

    def leave(self) -> None:
        """Be away: connections are reset, and new ones too."""
        self.away = True
        self.record.write("store is away")
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._wake()

    def come_back(self, snapshot: tuple[dict, list, int] | None = None) -> None:
        """Come back, from a copy if there is one."""
        if snapshot is not None:
            self.items, self.history, self.revision = (
                dict(snapshot[0]),
                list(snapshot[1]),
                snapshot[2],
            )
            self.era += 1
        self.away = False
        self.record.write(f"store is back at revision {self.revision}, Store-Era {self.era}")
        self._wake()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while not self.away and (head := await read_head(reader)) is not None:
                target = urlsplit(head[0].split(" ")[1])
                query = {name: values[0] for name, values in parse_qs(target.query).items()}
                status, body = await self._answer(target.path, query)
                if self.away:
                    break
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\nStore-Era: {self.era}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[int, dict]:
        await asyncio.sleep(0.004)
        prefix = query.get("prefix", "")
        if path == "/api/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "more_pages": len(keys) > 500, "as_of": self.revision}
        if path == "/api/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, item) if item else (404, {})
        if path != "/api/kv-watch":
            return 404, {}
        after, era = int(query["after"]), self.era
        if after > self.revision:
            return 410, {}
        ends = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                e for e in self.history if e["key"].startswith(prefix) and e["revision"] > after
            ]
            left = ends - time.monotonic()
            if era != self.era:
                return 410, {}
            if events or left <= 0 or self.away:
                return 200, {"events": events, "as_of": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass


class Proxy:
    """Passes connections on to one address; open ones can fall silent for good."""

    def __init__(self, record: Record, target: str) -> None:
        self.record, self.target = record, target
        self.address = ""
        self._server: asyncio.Server | None = None
        self._silent: list[asyncio.Event] = []
        # While set, nothing is passed on, and new connections hang.
        self.cut = False
        self._tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def silence(self) -> None:
        """Pass nothing on any more on the connections that are open now; they stay open."""
        self.record.write(f"{len(self._silent)} open connections fall silent for good")
        for silent in self._silent:
            silent.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while self.cut:
            await asyncio.sleep(0.05)
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        silent = asyncio.Event()
        self._silent.append(silent)
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, silent), self._pass(far_reader, writer, silent)
            )
        except asyncio.CancelledError:
            pass
        finally:
            self._silent.remove(silent)
            if task is not None:
                self._tasks.discard(task)
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, silent: asyncio.Event
    ) -> None:
        try:
            while data := await reader.read(65536):
                if not silent.is_set() and not self.cut:
                    writer.write(data)
                    await writer.drain()
            if not silent.is_set():
                writer.close()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()


class Exchange:
    """One request at a runner, for the behaviour that the case gives it."""

    def __init__(
        self,
        runner: Runner,
        first: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.runner, self.headers, self.body, self.writer = runner, headers, body, writer
        self.method, self.path, _ = first.split(" ")
        self.request_id = headers.get("x-request-id", "")
        self.stamp = f"{runner.name}.1"

    def head(self, status: int = 200, **more: str) -> bytes:
        lines = {"X-Request-Id": self.request_id, "X-Server-Stamp": self.stamp}
        if self.runner.leaving:
            lines["Server-Leaving"] = "1"
        lines |= {name.replace("_", "-"): value for name, value in more.items()}
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        return f"HTTP/1.1 {status} X\r\n{text}\r\n".encode()

    def answer(self, body: bytes, status: int = 200, **more: str) -> None:
        self.writer.write(self.head(status, Content_Length=str(len(body)), **more) + body)

    def not_run(self, status: int = 503, **more: str) -> None:
        self.writer.write(
            self.head(status, X_Not_Executed="1", Content_Length="0", **more).replace(
                f"X-Server-Stamp: {self.stamp}\r\n".encode(), b""
            )
        )

    def close(self) -> None:
        """End the connection in order, behind what was written."""
        self.writer.close()


Behaviour = Callable[[Exchange], Awaitable[None]]


class Runner:
    """One start of a runner; `behave` runs each request that is meant for it."""

    def __init__(
        self,
        record: Record,
        name: str,
        *,
        service: str,
        behave: Behaviour,
        version: str = "1",
        slots: int = 64,
        zone: str = "a",
    ) -> None:
        self.record, self.name, self.service, self.behave = record, name, service, behave
        self.version, self.slots, self.zone = version, slots, zone
        self.born = int(time.time() * 1000)
        self.leaving = False
        # Ids of the requests that wait or run.
        self.under_way: list[str] = []
        self.runs: list[tuple[float, str]] = []
        # While cleared the runner reads and sends nothing.
        self.awake = asyncio.Event()
        self.awake.set()
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def running(self) -> int:
        """Return how many requests wait or run."""
        return len(self.under_way)

    async def fall_silent(self, duration_s: float) -> None:
        """Stand still for a moment with all connections open, and go on."""
        self.record.write(f"runner {self.name} falls silent for {duration_s} s")
        self.awake.clear()
        await asyncio.sleep(duration_s)
        self.awake.set()
        self.record.write(f"runner {self.name} goes on")

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def entry(self, state: str = "ready") -> dict:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def die(self, *, reset: bool = False) -> None:
        """End as a killed process does: the listener and all connections at once."""
        self.stop_listening()
        for writer in tuple(self._writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()
        self._writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                await self.awake.wait()
                first, headers = head
                body = b""
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                exchange = Exchange(self, first, headers, body, writer)
                await self._handle(exchange)
                if writer.is_closing():
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            if not writer.is_closing():
                writer.close()

    async def _handle(self, exchange: Exchange) -> None:
        expected = exchange.headers.get("x-expect-instance")
        leaving = {"Server-Leaving": "1"} if self.leaving else {}
        more = "".join(f"{name}: {value}\r\n" for name, value in leaving.items())
        if exchange.path == "/api/report":
            data = json.dumps(
                {
                    "stage": "colocated",
                    "models": [],
                    "busy": False,
                    "sequence": 1,
                    "waiting": 0,
                    "in_flight": self.running,
                    "kv_used": 0,
                    "kv_total": 90000,
                    "handles": 0,
                    "state": "draining" if self.leaving else "ready",
                    "runs": [[request_id, 0, 0, 5] for request_id in self.under_way],
                    "born": self.born,
                }
            ).encode()
        elif exchange.path == "/api/kv-list":
            data = json.dumps({"epoch": 1, "next": 1, "held": [], "born": self.born}).encode()
        elif expected is not None and expected != self.name:
            self.record.write(f"runner {self.name} answers 421 to {exchange.request_id}")
            exchange.writer.write(
                f"HTTP/1.1 421 X\r\nX-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return
        elif exchange.path == "/health":
            status = 503 if self.leaving else 200
            exchange.writer.write(
                f"HTTP/1.1 {status} X\r\nX-Instance-Id: {self.name}\r\n{more}"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return
        else:
            self.under_way.append(exchange.request_id)
            self.runs.append((self.record.now(), exchange.request_id))
            self.record.write(f"request {exchange.request_id} reaches runner {self.name}")
            try:
                await self.behave(exchange)
            finally:
                self.under_way.remove(exchange.request_id)
            return
        exchange.writer.write(
            f"HTTP/1.1 200 X\r\nContent-Type: application/json\r\n{more}"
            f"Content-Length: {len(data)}\r\n\r\n".encode() + data
        )


class Router:
    """One machine with the forwarder, started with the command of the deploy file."""

    def __init__(self, fleet: Fleet, name: str, zone: str) -> None:
        self.fleet, self.name, self.zone = fleet, name, zone
        self.front, self.ready, self.control = (f"127.0.0.1:{find_port()}" for _ in range(3))
        self.metrics = find_port()
        self.process: asyncio.subprocess.Process | None = None
        self.settings = fleet.folder / f"{name}.json"
        # Where this router finds the store, if not where all others do.
        self.store_address = ""

    def write_settings(self, *, bootstrap: bool) -> None:
        bounds = {"cap_factor": 2, "retry_ratio": 0.2, "retry_slack": 52, "retry_window_ms": 10000}
        settings = {
            "instance": {"name": self.name, "data_centre": self.zone, "region": "r"},
            "first_start": bootstrap,
            "callers": self.front,
            "probes": {
                "ready": self.ready,
                "ready_path": "/api/ready",
                "metrics": f"127.0.0.1:{self.metrics}",
            },
            "link_address": self.control,
            "link": {"key_env": "GYPSUMROUTER_LINK_KEY", "connect_ms": 400},
            "seeds": [router.control for router in self.fleet.routers[:3]],
            "store": self.store_address or self.fleet.store_address or self.fleet.store.address,
            "heartbeat_ms": 1200,
            "processor": {"share": 0.817, "speed": 1},
            "bounds": bounds | {"stop_ms": 8000},
            "contention": {},
            "without": ["engine_speed", "engine_memory", "prompt_spread"],
            "log": {"format": "json"},
        }
        self.settings.write_text(json.dumps(settings))

    async def start(self, *, bootstrap: bool = False) -> None:
        self.write_settings(bootstrap=bootstrap)
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["forwarder"]
        words = [
            str(self.settings) if word == "/etc/gypsumrouter/node.toml" else word
            for word in role["run"].split(" ")
        ]
        log = (self.fleet.folder / f"{self.name}.log").open("ab")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.fleet.folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            **role["env"],
        }
        if words[0] == "python3":
            words[0] = sys.executable
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.fleet.record.write(f"router {self.name} starts")

    async def wait_ready(self) -> None:
        ends = time.monotonic() + 15
        while time.monotonic() < ends:
            if self.process is not None and self.process.returncode is not None:
                # The platform starts a process anew; here another program had taken a port.
                self.fleet.record.write(f"router {self.name} has ended by itself")
                await self.start()
            if await self.is_ready():
                self.fleet.record.write(f"router {self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"router {self.name} does not get ready")

    async def is_ready(self) -> bool:
        host, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await read_head(reader)
            writer.transport.abort()
        except OSError:
            return False
        return head is not None and " 200 " in head[0] + " "

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.fleet.record.write(f"router {self.name} gets {number.name}")
        self.process.send_signal(number)


class Fleet:
    """The routers, the store and the runners of a case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.routers: list[Router] = []
        # Where routers find the store.
        self.store_address = ""
        self.proxies: list[Proxy] = []
        self.runners: list[Runner] = []

    def add_routers(self, count: int) -> None:
        for number in range(count):
            self.routers.append(Router(self, f"edge-{number}", "abc"[number % 3]))

    def publish(self, runner: Runner, state: str = "ready", *, note: bool = True) -> None:
        self.store.put(f"servers/{runner.name}", runner.entry(state), note=note)

    async def close(self) -> None:
        for router in self.routers:
            if router.process is not None and router.process.returncode is None:
                router.process.kill()
                await router.process.wait()
        for runner in self.runners:
            runner.die(reset=True)
        for proxy in self.proxies:
            await proxy.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Reply:
    """What a client has got; `status` is 0 without the head of an answer."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.ended = ""


class Client:
    """One kept connection of a client."""

    def __init__(self, record: Record, address: str) -> None:
        self.record, self.address = record, address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def open(self) -> None:
        host, port = self.address.split(":")
        self._streams = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    async def send(
        self,
        path: str,
        request_id: str,
        *,
        method: str = "POST",
        body: bytes = b"{}",
        deadline_ms: int = 12000,
        headers: dict[str, str] | None = None,
        on_data: Callable[[bytes], None] = lambda _: None,
    ) -> Reply:
        """Send one request and return what came back."""
        reply = Reply()
        try:
            if self._streams is None:
                await self.open()
            assert self._streams is not None
            reader, writer = self._streams
            lines = {
                "Host": "here.example",
                "X-Request-Id": request_id,
                "X-Deadline-Ms": str(deadline_ms),
                "Api-Key": "key-1",
                **(headers or {}),
            }
            if body or method == "POST":
                lines["Content-Length"] = str(len(body))
            text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
            self.record.write(f"client sends {request_id}: {method} {path}")
            writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
            await asyncio.wait_for(self._read(reader, reply, on_data), deadline_ms / 1000 + 1.0)
        except TimeoutError:
            reply.ended = "nothing within the deadline and a second"
            self.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            reply.ended = f"connection ended: {type(error).__name__}"
            self.close()
        if reply.headers.get("connection", "").lower() == "close":
            self.close()
        state = "whole" if reply.complete else f"not whole ({reply.ended})"
        stamp = reply.headers.get("x-server-stamp", "none")
        self.record.write(
            f"client has {reply.status or 'no answer'} for {request_id}, stamp {stamp}, "
            f"{len(reply.body)} bytes, {state}"
        )
        return reply

    async def _read(
        self, reader: asyncio.StreamReader, reply: Reply, on_data: Callable[[bytes], None]
    ) -> None:
        while True:
            head = await read_head(reader)
            if head is None:
                reply.ended = "connection ended without an answer"
                raise ConnectionResetError
            first, reply.headers = head
            reply.status = int(first.split(" ")[1])
            if reply.status >= 200:
                break
        if reply.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                data = (await reader.readexactly(size + 2))[:-2]
                reply.body += data
                on_data(data)
            await reader.readuntil(b"\r\n")
        elif "content-length" in reply.headers:
            reply.body = await reader.readexactly(int(reply.headers["content-length"]))
        else:
            reply.body = await reader.read()
        reply.complete = True


def route(name: str, prefix: str, service: str, kind: str, **more: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "here.example",
        "prefix": prefix,
        "service": service,
        "kind": kind,
        "timeout_ms": 15000,
        "target_latency_ms": 300,
        "priority": 0,
        "max_attempts": 1,
        "public": False,
        **more,
    }


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1"]}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def engine(name: str) -> dict:
    return {
        "name": name,
        "max_connections": 360,
        "health_path": "/health",
        "engine": {"slots": 64, "kv_tokens": 655737},
    }


def plain(name: str) -> dict:
    return {"name": name, "max_connections": 96, "health_path": "/health"}


PROMPT = {"X-Model": "m", "X-Token-Usage": "600,80"}


def prompt(shared: str, own: str) -> dict[str, str]:
    return PROMPT | {"X-Prefix-Hash": f"{shared}:500,{own}:100"}


def play(case: Callable[[Fleet, bool], Awaitable[int]], folder: Path) -> None:
    """Run a case and exit with its result; TROUBLE=0 leaves out the disruption."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"begins, {'with' if trouble else 'without'} the disruption")

    async def run() -> int:
        fleet = Fleet(record)
        try:
            await fleet.store.start()
            async with asyncio.timeout(110):
                return await case(fleet, trouble)
        except Exception as error:  # a fault of the case itself breaks no rule
            record.write(f"the case can't run: {error!r}")
            return NOT_RUN
        finally:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(fleet.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            await fleet.close()

    result = asyncio.run(run())
    words = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}
    record.write(words[result])
    print(words[result])
    sys.exit(result)
