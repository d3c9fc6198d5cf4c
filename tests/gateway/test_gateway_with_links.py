"""The gateway over real links: answers of concurrent requests must not be mixed up."""

from __future__ import annotations

import asyncio

from gateway_fakes import ENGINES, RECORDS, RouterHarness
from msgspec.structs import replace

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.link import Answer, Hello, LinkPool, LinkServer, NoticeHub
from gypsumrouter.link.models import Head, Open
from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.settings import Link

KEY = b"a key of the links for tests"
CALLERS = 40
LATIN_1 = b"caf\xe9 \xff\xfe"


async def async_echo(hello: Hello, request: Open, answer: Answer) -> None:
    """Echo the body in parts, interleaved with the other answers."""
    note = LATIN_1.decode("utf-8", "surrogateescape")
    answer.head(Head(status=200, headers=(("Content-Type", "text/plain"), ("X-Note", note))))
    for at in range(0, len(request.body), 1_000):
        await answer.async_write(request.body[at : at + 1_000])
        await asyncio.sleep(0)
    answer.end()


async def async_refuse(hello: Hello, request: Open, answer: Answer) -> None:
    answer.fail(Refused(reason=Reason.OVER_CAP, retry_after_ms=700, elsewhere=True))


async def async_add_side(router: RouterHarness, name: str, *, refuses: bool) -> Application:
    app = Application(name=name, role=Role.SIDE, data_centre="dc-1", region="here")
    server = LinkServer(
        app=app,
        settings=Link(),
        key=KEY,
        notices=NoticeHub(app=app),
        handler=async_refuse if refuses else async_echo,
        answer_memory_bytes=1024 * 1024,
    )
    address = await server.async_start()
    router.fleet.instances = [
        replace(instance, address=address) if instance.name == name else instance
        for instance in router.fleet.instances
    ]
    return app


async def test_concurrent_callers_get_their_own_answers_over_real_links(
    router: RouterHarness,
) -> None:
    app = Application(name="pool", role=Role.ROUTER, data_centre="dc-1", region="here")
    pool = LinkPool(app=app, settings=Link(), key=KEY, notices=NoticeHub(app=app))
    router.use_links(pool)
    sides = [
        await async_add_side(router, RECORDS[0], refuses=True),
        await async_add_side(router, RECORDS[1], refuses=False),
        await async_add_side(router, ENGINES[0], refuses=True),
    ]
    bodies = [f"{number} ".encode() * 3_000 for number in range(CALLERS)]

    async def async_call(body: bytes) -> bytes:
        async with router.async_request("/services/records/echo", data=body) as answer:
            assert answer.status == 200
            assert (b"X-Note", LATIN_1) in answer.raw_headers
            return bytes(await answer.read())

    answers = await asyncio.gather(*(async_call(body) for body in bodies))
    assert answers == bodies
    answer, error = await router.async_chat()
    # No server listens at the addresses of the other engines.
    assert (answer.status, error["error"]["code"]) == (503, "over_cap")
    for side in (app, *sides):
        await side.async_stop()
