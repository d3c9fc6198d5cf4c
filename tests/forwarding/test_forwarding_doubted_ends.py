"""Ends of unframed answers that are still taken at their word, or are doubted without need."""

from __future__ import annotations

import asyncio
import select
import signal

import pytest
from dying_world import DyingWorld, EndingUpstream, Seen, async_read_answer
from forwarding_world import CALLER_KEY, HOST, PROMPT
from unframed_upstream import PIECES, make_answer

HELD = 3
LARGE = 50_000


@pytest.fixture
def world(dying: DyingWorld) -> DyingWorld:
    """Return a store and a forwarder without upstreams."""
    return dying


async def async_ask_slowly(
    world: DyingWorld, request_id: str, resume: asyncio.Event, path: str = "/draft/a"
) -> asyncio.Task[Seen]:
    """Send a request, and read nothing of its answer until `resume` is set.

    Returns once the answer has begun to arrive, so that its upstream has the request for certain.
    """
    address = world.product.addresses["callers"]
    reader, writer = await asyncio.open_connection(address.host, address.port, limit=1_024)
    headers = {"Host": HOST, "X-Request-Id": request_id, "Api-Key": CALLER_KEY}
    headers |= {"X-Deadline-Ms": "8000", "Connection": "close", "Content-Length": "1"} | PROMPT
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"POST {path} HTTP/1.1\r\n{lines}\r\np".encode())
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    await world.async_until(lambda: has_unread(writer))
    return asyncio.create_task(async_read_after(resume, reader, writer))


def has_unread(writer: asyncio.StreamWriter) -> bool:
    """Return whether something has arrived on a connection whose reading is paused."""
    return bool(select.select([writer.get_extra_info("socket")], [], [], 0)[0])


async def async_read_after(
    resume: asyncio.Event, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Seen:
    """Read an answer to its end once `resume` is set."""
    await resume.wait()
    writer.transport.resume_reading()  # type: ignore[attr-defined]
    return await async_read_answer(reader, writer)


# Guards against trust in an idle connection of a process that ends its answers first and exits
# later.
async def test_upstream_that_ends_its_answers_before_its_idle_connections_on_sigterm(
    world: DyingWorld,
) -> None:
    upstream = await world.async_add(held=HELD, ending="slow")
    assert (await world.async_ask("framed", "/draft/framed", events=False)).status == 200
    asked = [
        asyncio.create_task(world.async_ask(f"r{i}", "/draft/a", events=True)) for i in range(3)
    ]
    # The first of them reuses the idle connection; another idle one is needed beside them.
    for _ in asked:
        await upstream.async_read_line()
    assert (await world.async_ask("framed2", "/draft/framed", events=False)).status == 200
    await upstream.async_end(signal.SIGTERM)
    seen = [await answer for answer in asked]
    assert [(answer.status, answer.whole) for answer in seen] == [(200, False)] * 3


# Guards against a new process at the same port that vouches for the one that was killed.
@pytest.mark.parametrize("case", ["start_not_stated_again"])
async def test_restart_at_once_vouches_for_the_start_that_was_killed(
    world: DyingWorld, case: str
) -> None:
    states_start = case != "no_start"
    upstream = await world.async_add(held=HELD, states_start=states_start)
    assert (await world.async_ask("framed", "/draft/framed", events=False)).status == 200
    asked = [
        asyncio.create_task(world.async_ask(f"r{i}", "/draft/a", events=True)) for i in range(3)
    ]
    for _ in asked:
        await upstream.async_read_line()
    # Everything of a process is closed at once; the next one is at the port before the settle time.
    process = upstream.process
    assert process is not None
    relisten = asyncio.create_task(async_listen_at_once(upstream, process))
    process.kill()
    server = await relisten
    seen = [await answer for answer in asked]
    server.close()
    assert [(answer.status, answer.whole) for answer in seen] == [(200, False)] * 3


async def async_listen_at_once(
    upstream: EndingUpstream, process: asyncio.subprocess.Process, *, born: int = 0
) -> asyncio.Server:
    """Listen at the port of a process as soon as it is free; answers state `born`, if any."""
    start = f'"born":{born},' if born else ""

    async def async_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                body = f'{{{start}"epoch":1,"next":1,"held":[]}}'.encode()
                head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    while True:
        try:
            return await asyncio.start_server(
                async_serve, "127.0.0.1", upstream.port, reuse_address=True
            )
        except OSError:
            await asyncio.sleep(0.001)


# Guards against evidence that is collected when a caller reads on, long after the end of an answer.
@pytest.mark.parametrize("states_start", [True, False], ids=["start", "no_start"])
async def test_killed_upstream_is_back_when_a_resting_caller_reads_on(
    world: DyingWorld, states_start: bool
) -> None:
    upstream = EndingUpstream(world)
    await upstream.async_start(held=PIECES - 1, states_start=states_start, size=LARGE)
    await upstream.async_list()
    resume = asyncio.Event()
    asked = await async_ask_slowly(world, "r1", resume)
    await asyncio.sleep(1.0)
    await upstream.async_end()
    # It is back before the list says so; a request leaves a kept connection to it. A start that
    # states no time has an id of its own.
    upstream.name = upstream.name if states_start else "i-2"
    await upstream.async_start(states_start=states_start)
    await world.async_ask("framed", "/draft/framed", events=False)
    await world.async_ask("framed2", "/draft/framed", events=False)
    resume.set()
    seen = await asked
    assert (seen.status, seen.whole) == (200, False)


# Guards against a complete answer that counts as broken off, since its upstream has left when its
# caller reads on.
async def test_complete_answer_is_broken_off_as_its_upstream_leaves_before_the_caller_reads_on(
    world: DyingWorld,
) -> None:
    upstream = await world.async_add(size=10_000)
    assert (await world.async_ask("framed", "/draft/framed", events=False)).status == 200
    resume = asyncio.Event()
    asked = await async_ask_slowly(world, "r1", resume)
    # Twice, so that after a pause of this process the end is seen before the upstream leaves.
    for _ in range(2):
        await asyncio.sleep(1.0)
    await upstream.async_end(signal.SIGTERM)
    resume.set()
    seen = await asked
    assert (seen.status, seen.whole, len(seen.body)) == (200, True, len(make_answer(10_000)))


# Guards against complete answers that count as broken off, since their upstream resets a connection
# more than it bears.
async def test_answer_of_an_upstream_that_accepts_no_further_connection_is_broken_off(
    world: DyingWorld,
) -> None:
    await world.async_add(ending="full")
    seen = await world.async_ask("r1", "/draft/a", events=True)
    assert (seen.status, seen.whole, len(seen.body)) == (200, True, len(make_answer()))


# Guards against trust in a connection of which nothing is read, as its caller rests: its end has
# arrived, and is not seen.
@pytest.mark.parametrize("states_start", [True, False], ids=["start", "no_start"])
async def test_connection_of_a_resting_caller_vouches_for_an_upstream_that_was_killed(
    world: DyingWorld, states_start: bool
) -> None:
    upstream = await world.async_add(held=HELD, states_start=states_start)
    resume = asyncio.Event()
    resting = await async_ask_slowly(world, "r0", resume, "/draft/large")
    await asyncio.sleep(0.5)
    asked = asyncio.create_task(world.async_ask("r1", "/draft/a", events=True))
    assert await upstream.async_read_line() == "r1"
    await upstream.async_end()
    seen = await asked
    resume.set()
    await resting
    assert (seen.status, seen.whole) == (200, False)


# Guards against a complete answer that counts as broken off, since its upstream is silent for a
# second or so after it, as a sound one may be.
async def test_answer_of_an_upstream_that_is_silent_after_it_is_broken_off(
    world: DyingWorld,
) -> None:
    await world.async_add(ending="pause")
    seen = await world.async_ask("r1", "/draft/a", events=True)
    assert (seen.status, seen.whole, len(seen.body)) == (200, True, len(make_answer()))


# Guards against a complete answer that implicates the parts of its prompt in a crash.
@pytest.mark.parametrize("ending", ["full", "pause"])
async def test_complete_answer_counts_as_a_crash(world: DyingWorld, ending: str) -> None:
    await world.async_add(ending=ending)
    await world.async_ask("r1", "/draft/a", events=True)
    await asyncio.sleep(1.5)
    suspects = world.product.app.dump()["suspects"]
    assert isinstance(suspects, dict)
    # Subjects with an implication in a crash.
    assert suspects["judged"] == 0


# Guards against the same for an upstream that stands still for so long that it answers no question:
# its other connections stay open.
@pytest.mark.parametrize("idle", [0, 3])
async def test_complete_answer_before_a_long_pause_counts_as_a_crash(
    world: DyingWorld, idle: int
) -> None:
    upstream = await world.async_add(ending="stall")
    framed = [world.async_ask(f"f{i}", "/draft/framed", events=False) for i in range(idle)]
    assert [answer.status for answer in await asyncio.gather(*framed)] == [200] * idle
    await world.async_ask("r1", "/draft/a", events=True)
    await asyncio.sleep(1.5)
    assert upstream.process is not None
    assert upstream.process.returncode is None
    suspects = world.product.app.dump()["suspects"]
    assert isinstance(suspects, dict)
    # Subjects with an implication in a crash.
    assert suspects["judged"] == 0


# Guards against a complete answer that counts as broken off, since it came from a start of its
# upstream that the list doesn't show yet.
async def test_answer_of_a_start_that_is_not_listed_yet_is_broken_off(world: DyingWorld) -> None:
    upstream = await world.async_add()
    await upstream.async_end()
    await upstream.async_start()
    seen = await world.async_ask("r1", "/draft/a", events=True)
    assert (seen.status, seen.whole, len(seen.body)) == (200, True, len(make_answer()))


# Guards against the answer of a start that was killed, taken for one of the start that came after
# it: that one states itself at once, while the list still shows the other.
@pytest.mark.parametrize("answers", [1, 3])
async def test_unlisted_start_vouches_for_the_one_that_was_killed_before_it(
    world: DyingWorld, answers: int
) -> None:
    upstream = await world.async_add(held=HELD)
    asked = [
        asyncio.create_task(world.async_ask(f"r{i}", "/draft/a", events=True))
        for i in range(answers)
    ]
    for _ in asked:
        await upstream.async_read_line()
    # The request has begun before, and its start has ended when the next one listens.
    await asyncio.sleep(0.05)
    process = upstream.process
    assert process is not None
    relisten = asyncio.create_task(
        async_listen_at_once(upstream, process, born=upstream.born + 1_000)
    )
    process.kill()
    server = await relisten
    seen = [await answer for answer in asked]
    server.close()
    assert [(answer.status, answer.whole) for answer in seen] == [(200, False)] * answers


# Guards against the answer of an unlisted start that was killed, taken for whole as its own
# successor answers the question behind its end.
async def test_unlisted_start_that_was_killed_counts_as_whole_by_its_successor(
    world: DyingWorld,
) -> None:
    upstream = await world.async_add()
    await upstream.async_end()
    await upstream.async_start(held=HELD)
    asked = asyncio.create_task(world.async_ask("r1", "/draft/a", events=True))
    assert await upstream.async_read_line() == "r1"
    # The start is asked for beside the answer.
    await asyncio.sleep(0.3)
    process = upstream.process
    assert process is not None
    relisten = asyncio.create_task(
        async_listen_at_once(upstream, process, born=upstream.born + 1_000)
    )
    process.kill()
    server = await relisten
    seen = await asked
    server.close()
    assert (seen.status, seen.whole) == (200, False)
