"""Signals of a process: remembered from its first moment on, and none but SIGKILL ends it.

The handlers stay for the whole life of the process; those of an event loop are missing before the
loop runs and after it is closed, where a stop signal would end the process at once.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import FrameType
from typing import Final

NS_PER_MS: Final = 1_000_000
STOP_SIGNALS: Final = frozenset({signal.SIGTERM, signal.SIGINT})
HANDLED: Final = (*STOP_SIGNALS, signal.SIGHUP)
# They end a process by default; one that stops has answers to finish.
IGNORED_IN_STOP: Final = (
    signal.SIGQUIT,
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
)

# Called with a signal and when it came (monotonic milliseconds).
SignalListener = Callable[[signal.Signals, int], object]

_remembered: list[tuple[signal.Signals, int]] = []
_listeners: list[SignalListener] = []


def install_handlers() -> None:
    """Handle the signals from now on; must be called in the main thread."""
    for number in HANDLED:
        signal.signal(number, _handle)


def leave_to_main_thread() -> None:
    """Keep the signals from the calling thread.

    A thread that takes one may get no processor before it notes that, while the main thread goes
    on. The main thread notes one that it takes before its next instruction.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


@contextmanager
def held() -> Iterator[None]:
    """Hold the signals back; threads that start meanwhile leave them to the main thread."""
    mask = signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, mask)


def listen(listener: SignalListener) -> Callable[[], None]:
    """Pass signals to `listener`, those that were remembered first; return how to end that.

    The listener runs between any two instructions of the main thread.
    """
    _listeners.append(listener)
    while _remembered:
        listener(*_remembered.pop(0))
    return lambda: _listeners.remove(listener)


def _handle(number: int, _frame: FrameType | None) -> None:
    received = signal.Signals(number), time.monotonic_ns() // NS_PER_MS
    if number in STOP_SIGNALS:
        for other in IGNORED_IN_STOP:
            signal.signal(other, signal.SIG_IGN)
    if not _listeners:
        _remembered.append(received)
    for listener in _listeners:
        listener(*received)
