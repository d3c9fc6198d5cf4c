"""Confirms with the store that all its changes of a list are known up to now."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.published.follower import BatchHandler
from gypsumrouter.published.models import HistoryLost, PublishedStore, StoreUnavailable
from gypsumrouter.published.watch_state import WatchState
from gypsumrouter.util.shared_call import SharedCall

# The store answers at once if nothing has changed.
QUESTION_WAIT_MS: Final = 1
# A later answer is of no use to those that wait for it.
QUESTION_TIMEOUT_MS: Final = 140
# Questions of all watchers together stay at 500 a second, of some thousands that the store allows.
INTERVAL_MS_PER_WATCHER: Final = 2
MIN_INTERVAL_MS: Final = 20

_NEVER_MS: Final = -(1 << 62)


class ListConfirmation:
    """Asks the store for the changes of a list, on a connection of its own.

    A watch of the list tells what had changed when the store answered, which may be a while ago.
    What the store says to a question that is sent now covers all that it listed before.
    `count_watchers` returns the number of other routers that watch the store and are asked by all.
    """

    __slots__ = (
        "_app",
        "_count_watchers",
        "_handle_all",
        "_handle_changes",
        "_questions",
        "_sent_ms",
        "_state",
        "_store",
    )

    def __init__(
        self,
        *,
        app: Application,
        store: PublishedStore,
        state: WatchState,
        handle_all: BatchHandler,
        handle_changes: BatchHandler,
        count_watchers: Callable[[], int],
    ) -> None:
        self._app = app
        self._store = store
        self._state = state
        self._handle_all = handle_all
        self._handle_changes = handle_changes
        self._count_watchers = count_watchers
        self._sent_ms = _NEVER_MS
        self._questions = SharedCall(
            start=app.async_create_task,
            call=self._async_ask,
            name="confirm the list",
            pause=self._async_pause,
        )
        app.on_stop(self._async_stop)

    async def async_confirm(self) -> bool:
        """Return whether all that the store had when this was called is known here.

        False if the store has not answered in time, or the list has not been read yet.
        """
        return await self._questions.async_join()

    async def _async_pause(self) -> None:
        interval_ms = max(MIN_INTERVAL_MS, INTERVAL_MS_PER_WATCHER * self._count_watchers())
        left_ms = self._sent_ms + interval_ms - self._app.clock.now_ms()
        if left_ms > 0:
            await self._app.clock.async_sleep(left_ms)

    async def _async_ask(self) -> bool:
        self._sent_ms = self._app.clock.now_ms()
        try:
            return await self._async_read_changes()
        except StoreUnavailable:
            return False
        finally:
            # A connection that idles may be dead by the next question.
            if not self._questions.is_wanted:
                self._store.close()

    async def _async_read_changes(self) -> bool:
        after = self._state.as_of
        if after is None:
            return False
        changed = await self._store.async_watch(after=after, wait_ms=QUESTION_WAIT_MS)
        if isinstance(changed, HistoryLost):
            listed = await self._store.async_list()
            self._handle_all(listed)
            self._state.as_of = listed.as_of
        else:
            self._handle_changes(changed)
            self._state.advance(changed.as_of)
        self._state.note_response()
        return True

    async def _async_stop(self) -> None:
        self._store.close()
