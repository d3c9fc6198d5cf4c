"""Log lines include the instance and the request id of their task, in both formats."""

from __future__ import annotations

import asyncio
import io
import json
import logging
from collections.abc import Iterator

import pytest

from gypsumrouter.helpers.logs import configure_logging, set_instance, set_request_id
from gypsumrouter.settings import Log, LogFormat, LogLevel

_LOGGER = logging.getLogger(__name__)


@pytest.fixture(autouse=True)
def keep_root_logger() -> Iterator[None]:
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


def write_lines(settings: Log) -> list[str]:
    stream = io.StringIO()
    remove = configure_logging(settings=settings, instance="entry-1", stream=stream)
    _LOGGER.debug("Hidden")
    _LOGGER.info("Served %d of %s", 3, "plant")
    asyncio.run(async_log_of_two_instances())
    try:
        raise ValueError("broken")
    except ValueError:
        _LOGGER.exception("Failed")
    remove()
    return stream.getvalue().splitlines()


async def async_log_of_two_instances() -> None:
    async def async_run(instance: str, request_id: str) -> None:
        set_instance(instance)
        set_request_id(request_id)
        await asyncio.sleep(0)
        _LOGGER.warning("Retried")

    await asyncio.gather(async_run("models-1", "r-1"), async_run("models-2", "r-2"))


def test_json_lines_include_instance_and_request_id_of_their_task() -> None:
    lines = [json.loads(line) for line in write_lines(Log(format=LogFormat.JSON))]
    served, first, second, failed = lines
    assert served["message"] == "Served 3 of plant"
    assert (served["level"], served["instance"]) == ("info", "entry-1")
    assert "request_id" not in served
    assert (first["instance"], first["request_id"]) == ("models-1", "r-1")
    assert (second["instance"], second["request_id"]) == ("models-2", "r-2")
    assert "ValueError: broken" in failed["exception"]


def test_text_lines_include_instance_and_request_id() -> None:
    lines = write_lines(Log(format=LogFormat.TEXT, level=LogLevel.WARNING))
    assert "WARNING [models-1] [r-1] test_logs: Retried" in lines[0]
    assert not [line for line in lines if "Served" in line]
