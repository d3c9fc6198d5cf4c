"""Logging as text or JSON lines that include the instance and the request id."""

from __future__ import annotations

import json
import logging
import logging.handlers
import queue
import sys
from collections.abc import Callable
from contextvars import ContextVar
from datetime import UTC, datetime
from typing import Final, TextIO

from gypsumrouter.settings import Log, LogFormat

MAX_QUEUED_LINES: Final = 10_000
# Time limit for writing the queued lines when the process exits.
FLUSH_TIMEOUT_S: Final = 0.25
NO_VALUE: Final = "-"
TEXT_FORMAT: Final = (
    "%(asctime)s %(levelname)s [%(instance)s] [%(request_id)s] %(name)s: %(message)s"
)
QUIET_LOGGERS: Final = ("aiohttp.access", "asyncio")

_instance: ContextVar[str] = ContextVar("instance", default=NO_VALUE)
_request_id: ContextVar[str] = ContextVar("request_id", default=NO_VALUE)


def set_instance(name: str) -> None:
    """Set the instance for log lines of the current task and the tasks that it starts."""
    _instance.set(name)


def set_request_id(request_id: str) -> None:
    """Set the request id for log lines of the current task and the tasks that it starts."""
    _request_id.set(request_id)


class ContextFilter(logging.Filter):
    """Adds the instance and the request id of the current task to each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Accept every record; values passed as `extra` are not overwritten."""
        if not hasattr(record, "instance"):
            record.instance = _instance.get()
        if not hasattr(record, "request_id"):
            record.request_id = _request_id.get()
        return True


class JsonFormatter(logging.Formatter):
    """Writes each record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        line: dict[str, object] = {
            "time": datetime.fromtimestamp(record.created, tz=UTC).isoformat("T", "milliseconds"),
            "level": record.levelname.lower(),
            "instance": getattr(record, "instance", NO_VALUE),
            "logger": record.name,
            "message": record.getMessage(),
        }
        event = getattr(record, "event", None)
        if isinstance(event, dict):
            del line["logger"], line["message"]
            line["event"] = record.getMessage()
            line.update(event)
        request_id = getattr(record, "request_id", NO_VALUE)
        if "request_id" not in line and request_id != NO_VALUE:
            line["request_id"] = request_id
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, ensure_ascii=False)


class DroppingQueueHandler(logging.handlers.QueueHandler):
    """Queues records for the writer thread; drops records instead of blocking the event loop."""

    dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged; the queue doesn't leave the process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue the record, or count it as dropped."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class BoundedQueueListener(logging.handlers.QueueListener):
    """Writes queued records in a thread; a blocked output doesn't delay the exit of the process."""

    def __init__(
        self, records: queue.Queue[logging.LogRecord | None], output: logging.Handler
    ) -> None:
        super().__init__(records, output)
        self._records = records
        # Whether all lines were written when the thread was stopped.
        self.finished = True

    def enqueue_sentinel(self) -> None:
        """Queue the stop marker of the thread; drops the oldest records if the queue is full."""
        while True:
            try:
                self._records.put_nowait(None)
            except queue.Full:
                self._records.get_nowait()
            else:
                return

    def stop(self) -> None:
        """Stop the thread; records that are not written within `FLUSH_TIMEOUT_S` are dropped."""
        thread, self._thread = self._thread, None
        if thread is None:
            return
        self.enqueue_sentinel()
        thread.join(FLUSH_TIMEOUT_S)
        self.finished = not thread.is_alive()


def make_formatter(log_format: LogFormat) -> logging.Formatter:
    """Return the formatter of a log format."""
    match log_format:
        case LogFormat.JSON:
            return JsonFormatter()
        case LogFormat.TEXT:
            return logging.Formatter(TEXT_FORMAT)


def configure_logging(
    *, settings: Log, instance: str, stream: TextIO | None = None
) -> Callable[[], bool]:
    """Write all log lines to a stream, by default standard error, in a separate thread.

    Returns a function that flushes the queue, stops the thread and removes the handler. It returns
    False if the thread still waits for the stream, which an exit of the interpreter would wait for.
    """
    set_instance(instance)
    output = logging.StreamHandler(stream or sys.stderr)
    output.setFormatter(make_formatter(settings.format))
    records: queue.Queue[logging.LogRecord | None] = queue.Queue(MAX_QUEUED_LINES)
    handler = DroppingQueueHandler(records)
    handler.addFilter(ContextFilter())
    listener = BoundedQueueListener(records, output)
    root = logging.getLogger()
    for earlier in tuple(root.handlers):
        root.removeHandler(earlier)
    root.addHandler(handler)
    root.setLevel(settings.level.value.upper())
    for name in QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
    listener.start()

    def remove() -> bool:
        listener.stop()
        root.removeHandler(handler)
        return listener.finished

    return remove
