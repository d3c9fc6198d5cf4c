"""Guaranteed shares of workspaces and their current usage."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumrouter.configuration.models import Workspace

DEFAULT_SHARE = 1.0


class WorkspaceUsage:
    """The requests of one workspace that run or wait at this instance."""

    __slots__ = ("batch_running", "name", "running", "share", "waiting")

    def __init__(self, *, name: str, share: float) -> None:
        self.name = name
        self.share = share
        self.running = 0
        self.batch_running = 0
        self.waiting = 0

    @property
    def load(self) -> int:
        """Return the number of running and waiting requests, batch included."""
        return self.running + self.batch_running + self.waiting


class Shares:
    """Weighted fair shares of the active workspaces.

    A workspace is guaranteed its share divided by the shares of all active workspaces; what a
    workspace leaves unused is available to the others. Batch work uses spare slots and doesn't
    count against the guarantee.
    """

    __slots__ = ("_active", "_share_sum", "_shares")

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._active: dict[str, WorkspaceUsage] = {}
        self._share_sum = 0.0

    def configure(self, workspaces: Iterable[Workspace]) -> None:
        """Apply the shares of a configuration."""
        self._shares = {workspace.name: workspace.share for workspace in workspaces}
        for usage in self._active.values():
            usage.share = self._shares.get(usage.name, DEFAULT_SHARE)
        self._share_sum = sum(usage.share for usage in self._active.values())

    def get(self, name: str) -> WorkspaceUsage:
        """Return the usage of a workspace and mark the workspace as active.

        Call :meth:`remove_if_idle` once its last request has ended.
        """
        usage = self._active.get(name)
        if usage is None:
            usage = WorkspaceUsage(name=name, share=self._shares.get(name, DEFAULT_SHARE))
            self._active[name] = usage
            self._share_sum += usage.share
        return usage

    def remove_if_idle(self, usage: WorkspaceUsage) -> None:
        """Remove a workspace without running or waiting requests from the active ones."""
        if usage.load or self._active.get(usage.name) is not usage:
            return
        del self._active[usage.name]
        self._share_sum -= usage.share
        if not self._active:
            self._share_sum = 0.0

    def get_guarantee(self, usage: WorkspaceUsage, total: int) -> float:
        """Return the guaranteed part of a total."""
        return total * usage.share / self._share_sum

    def is_below_guarantee(self, usage: WorkspaceUsage, slots: int) -> bool:
        """Return whether a workspace runs fewer requests than its guarantee."""
        return usage.running < self.get_guarantee(usage, slots)

    def list_waiting(self) -> list[WorkspaceUsage]:
        """Return the workspaces that have waiting requests."""
        return [usage for usage in self._active.values() if usage.waiting]

    def list_active(self) -> list[WorkspaceUsage]:
        """Return the active workspaces in descending order of load."""
        return sorted(self._active.values(), key=lambda usage: (-usage.load, usage.name))
