"""A small deployment on loopback addresses: store, runners and the deploy file's forwarders.

The forwarders are started with the command, the variables and the template of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from standins.store import Store

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent
HOST = "ficu95.example"
API_KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ZONES = ("mixco-a", "villanueva-b", "zona10-c")
CANNOT_RUN_EXIT = 2
LISTENING_PORTS = (15_000, 32_000)

Process = subprocess.Popen[bytes]


class CannotRun(Exception):
    """The case could not run."""


def find_free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address, below those that outgoing connections get."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*LISTENING_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings as DEPLOY.md has it: values and optional sections."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return None
        return value

    def fill_section(match: re.Match[str]) -> str:
        return match[2] if find(match[1]) is not None else ""

    def fill_value(match: re.Match[str]) -> str:
        value = find(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill_value, text)


class Deployment:
    """All processes of one play; they end with `stop`."""

    def __init__(self, record: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="gypsumrouter-review-"))
        self.store = Store()
        self.forwarders: list[Process] = []
        self.fronts: list[int] = []
        self.ready_ports: list[int] = []
        self.runners: dict[str, Process] = {}
        self.runner_ports: dict[str, int] = {}
        self._runs_read = 0
        self._began_s = time.monotonic()
        self._record = record.open("w", encoding="utf-8", buffering=1)

    def note(self, text: str) -> None:
        """Write one line to the record, with the time since the start."""
        self._record.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")

    async def start(self, *, routes: list[dict[str, Any]], services: list[dict[str, Any]]) -> None:
        """Start the store with a configuration."""
        await self.store.start()
        configuration = {
            "version": 7,
            "routes": [{"host": HOST, **route} for route in routes],
            "services": services,
            "tenants": [{"name": TENANT, "api_keys": [API_KEY]}],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        await self.store.put("op/config", json.dumps(configuration).encode())

    def start_runner(self, name: str, *, service: str, zone: str, **options: Any) -> None:
        """Start a runner, or start one again under its id and at its address."""
        if name not in self.runner_ports:
            self.runner_ports[name] = find_free_ports(1)[0]
        command = [sys.executable, "-S", "-m", "standins.runner", "--id", name]
        options = {"service": service, "zone": zone, "store": self.store.address, **options}
        options |= {"port": self.runner_ports[name], "log": str(self.folder / "runners.jsonl")}
        for option, value in options.items():
            command += [f"--{option.replace('_', '-')}", str(value)]
        env = {"PATH": os.environ["PATH"], "PYTHONPATH": str(STANDINS.parent)}
        self.runners[name] = subprocess.Popen(command, env=env, cwd=self.folder)
        self.note(f"runner {name} starts, version {options.get('version', '1')}")

    def kill_runner(self, name: str) -> None:
        """End a runner with SIGKILL."""
        self.runners[name].kill()
        self.runners[name].wait()
        self.note(f"runner {name} killed")

    async def start_forwarders(self) -> None:
        """Start the forwarders of the deploy file, one in each zone, and wait until all are ready."""
        count = len(ZONES)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["forwarder"]
        template = (ROOT / role["template"]).read_text()
        ports = find_free_ports(4 * count)
        seeds = [f"127.0.0.1:{ports[4 * n + 2]}" for n in range(count)]
        for number in range(count):
            front, ready, control, metrics = ports[4 * number : 4 * number + 4]
            fields = make_fields(ZONES[number], seeds, self.store.address)
            fields["listen"] = {
                "front": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
                "control": f"127.0.0.1:{control}",
            }
            fields["port_range"] = [metrics, metrics + 15]
            path = self.folder / f"node-{number}.json"
            path.write_text(render(template, fields))
            words = [
                str(path) if word == "/etc/gypsumrouter/node.toml" else word
                for word in role["run"].split()
            ]
            env = {"PATH": os.environ["PATH"], "HOME": str(self.folder), "LANG": "C.UTF-8"}
            env |= {"PYTHONPATH": str(ROOT / "target/deps"), "GYPSUMROUTER_CONFIG": str(path)}
            env |= role.get("env", {})
            log = (self.folder / f"node-{number}.log").open("wb")
            process = subprocess.Popen(words, env=env, cwd=ROOT, stdout=log, stderr=log)
            self.forwarders.append(process)
            self.fronts.append(front)
            self.ready_ports.append(ready)
        async with asyncio.timeout(20):
            for number in range(count):
                while not await self.is_ready(number):
                    await asyncio.sleep(0.1)
        self.note(f"{count} forwarders are ready")

    async def is_ready(self, number: int) -> bool:
        """Ask a forwarder whether it is ready, as the platform does."""
        if self.forwarders[number].poll() is not None:
            raise CannotRun(f"forwarder {number} ended")
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_ports[number])
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    def read_runs(self) -> list[dict[str, Any]]:
        """Return what the runners wrote, in the order of time."""
        path = self.folder / "runners.jsonl"
        lines = path.read_text().splitlines() if path.exists() else []
        runs = []
        for line in lines:
            try:
                runs.append(json.loads(line))
            except ValueError:
                continue  # the last line of a runner that was killed
        return sorted(runs, key=lambda run: run["at"])

    def read_new_runs(self) -> list[dict[str, Any]]:
        """Return the whole lines that the runners wrote since the last call."""
        with (self.folder / "runners.jsonl").open("rb") as file:
            file.seek(self._runs_read)
            lines, newline, _ = file.read().rpartition(b"\n")
        self._runs_read += len(lines) + len(newline)
        return [json.loads(line) for line in lines.splitlines()]

    def record_runs(self) -> None:
        """Write what the runners and the store saw to the record, but for parts of bodies."""
        for run in self.read_runs():
            if run["what"] == "sends":
                continue
            more = {k: v for k, v in run.items() if k not in ("at", "what", "runner")}
            at = run["at"] - self._began_s
            self._record.write(f"{at:8.3f} at runner {run['runner']}: {run['what']} {more}\n")
        for at, key, value in self.store.log:
            self._record.write(f"{at - self._began_s:8.3f} in the store: {key} {value[:300]}\n")

    def stop(self) -> None:
        """End all processes that were started, and remove the folder."""
        processes = [*self.forwarders, *self.runners.values()]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


def make_fields(zone: str, seeds: list[str], store: str) -> dict[str, Any]:
    """Return the fields of a machine's settings, with the bounds of cuec-plataforma."""
    return {
        "node": f"edge-{zone}-1",
        "zone": zone,
        "region": "gt-central",
        "ip": "127.0.0.1",
        "bootstrap": True,
        "seeds": seeds,
        "heartbeat_ms": 1200,
        "limits": {"cpu_share": 0.817, "cores": 1},
        "platform": {"address": store},
        "bounds": {
            "cap_factor": 2,
            "retry_budget_ratio": 0.2,
            "budget_slack": 52,
            "budget_window_s": 10,
            "grace_s": 8,
        },
    }


class Answer:
    """What a client received: status 0 without a head; `whole` if the body ended as framed."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False


async def ask(
    port: int, *, method: str, path: str, headers: dict[str, str], body: bytes = b"", wait_s: float
) -> Answer:
    """Send one request on a new connection and read the response until it ends."""
    answer = Answer()
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                await _exchange(reader, writer, answer, method, path, headers, body)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    return answer


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    answer: Answer,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> None:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Api-Key: {API_KEY}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await _read_answer(reader, answer)


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    for line in rest:
        name, colon, value = line.partition(":")
        if colon:
            answer.headers[name.strip().lower()] = value.strip()
    answer.status = int(first.split(" ")[1])
    if "content-length" in answer.headers:
        left = int(answer.headers["content-length"])
        while left:
            part = await reader.read(left)
            if not part:
                return
            answer.body += part
            left -= len(part)
        answer.whole = True
        return
    if answer.headers.get("transfer-encoding") != "chunked":
        answer.body = await reader.read()
        answer.whole = True
        return
    while True:
        size = int(await reader.readline(), 16)
        if size == 0:
            await reader.readline()
            answer.whole = True
            return
        answer.body += await reader.readexactly(size)
        await reader.readline()


class KeptConnection:
    """A client's connection that it keeps for several requests."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def send_slowly(
        self, *, path: str, headers: dict[str, str], size: int, parts: int, upload_s: float
    ) -> None:
        """Send a request whose body arrives in equal parts over some time."""
        assert self._writer is not None
        lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Api-Key: {API_KEY}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {size}")
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for _ in range(parts):
            await asyncio.sleep(upload_s / parts)
            if self._writer.is_closing():
                raise ConnectionResetError("closed by the forwarder")
            self._writer.write(b"x" * (size // parts))
            await self._writer.drain()

    async def count_unread(self, *, after_s: float) -> int | None:
        """Return the bytes that the other end's process has not read yet, after some time."""
        assert self._writer is not None
        own_port = self._writer.get_extra_info("sockname")[1]
        await asyncio.sleep(after_s)
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            local, remote = (int(fields[n].split(":")[1], 16) for n in (1, 2))
            if (local, remote) == (self._port, own_port):
                return int(fields[4].split(":")[1], 16)
        return None

    async def receive(self, *, wait_s: float) -> Answer:
        """Read the answer until it or the connection ends."""
        assert self._reader is not None
        answer = Answer()
        try:
            async with asyncio.timeout(wait_s):
                await _read_answer(self._reader, answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        return answer


def is_whole_stream(answer: Answer, events: int) -> bool:
    """Return whether an answer holds all events of a stream, in order."""
    numbers = re.findall(r"id: (\d+)\n", answer.body.decode())
    return numbers == [str(number) for number in range(1, events + 1)]
