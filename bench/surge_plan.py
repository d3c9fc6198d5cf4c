"""Load of the surge bench: steady traffic, and a surge of one workspace."""

from __future__ import annotations

import random
from typing import Final

from msgspec import Struct

from bench.accounts import Account
from bench.planned_chats import PlannedChat, PlannedTurn, make_prompt_text
from gypsumrouter.const import MS_PER_S
from gypsumrouter.standins import Deployment
from gypsumrouter.standins.deployments import CLASS_REPORTS, WorkspacePlan

STEP_MS: Final = 50.0
PROMPT_TOKENS: Final = 300
NEXT_TOKENS: Final = 48
TURNS: Final = 3
THINK_S: Final = 1.5
ANSWER_TOKENS: Final = 15
REPORT_TOKENS: Final = 50
HOLD_S: Final = ANSWER_TOKENS * STEP_MS / MS_PER_S
REPORT_HOLD_S: Final = REPORT_TOKENS * STEP_MS / MS_PER_S


class SurgeTimes(Struct, frozen=True, kw_only=True):
    """Phases of a run in seconds: before, during and after the surge."""

    calm_s: float
    surge_s: float
    after_s: float

    @property
    def surge_end_s(self) -> float:
        """Return the end of the surge."""
        return self.calm_s + self.surge_s

    @property
    def end_s(self) -> float:
        """Return the end of the run."""
        return self.surge_end_s + self.after_s

    def is_surge(self, at_ms: int) -> bool:
        """Return whether a time since the start is in the surge."""
        return self.calm_s * MS_PER_S <= at_ms < self.surge_end_s * MS_PER_S


class SurgeLoad(Struct, frozen=True, kw_only=True):
    """Offered load in running requests per engine; `surge` is added to the others."""

    steady: float
    reports: float
    surge: float


class SurgePlanner:
    """Plans the chats of one run; the workspace with the most traffic surges.

    The surge consists of reports if `surging_class` is that class, otherwise of all interactive
    classes.
    """

    def __init__(
        self, *, deployment: Deployment, times: SurgeTimes, surging_class: str | None, seed: int
    ) -> None:
        self._deployment = deployment
        self._times = times
        self._surging_class = surging_class
        self._random = random.Random(seed)
        self._chats: list[PlannedChat] = []

    def plan(self, load: SurgeLoad) -> tuple[PlannedChat, ...]:
        """Return all chats of the run."""
        engines, times = self._deployment.engines, self._times
        interactive_s = TURNS * HOLD_S
        self._draw_chats(load.steady * engines / interactive_s, 0.0, times.end_s, surge=False)
        self._draw_reports(load.reports * engines / REPORT_HOLD_S, 0.0, times.end_s, surge=False)
        if self._surging_class == CLASS_REPORTS:
            rate_s = load.surge * engines / REPORT_HOLD_S
            self._draw_reports(rate_s, times.calm_s, times.surge_end_s, surge=True)
        else:
            rate_s = load.surge * engines / interactive_s
            self._draw_chats(rate_s, times.calm_s, times.surge_end_s, surge=True)
        return tuple(self._chats)

    def _draw_chats(self, rate_s: float, from_s: float, until_s: float, *, surge: bool) -> None:
        at_s = from_s + self._random.expovariate(rate_s)
        while at_s < until_s:
            item = self._random.choice(self._deployment.interactive)
            turns = tuple(
                self._make_turn(at_s + number * THINK_S, number, ANSWER_TOKENS)
                for number in range(TURNS)
            )
            self._add(item.name, turns, surge=surge)
            at_s += self._random.expovariate(rate_s)

    def _draw_reports(self, rate_s: float, from_s: float, until_s: float, *, surge: bool) -> None:
        if rate_s <= 0:
            return
        at_s = from_s + self._random.expovariate(rate_s)
        while at_s < until_s:
            self._add(CLASS_REPORTS, (self._make_turn(at_s, 0, REPORT_TOKENS),), surge=surge)
            at_s += self._random.expovariate(rate_s)

    def _make_turn(self, at_s: float, number: int, tokens: int) -> PlannedTurn:
        size = NEXT_TOKENS if number else PROMPT_TOKENS
        content = make_prompt_text(self._random, tokens=size)
        return PlannedTurn(at_ms=round(at_s * MS_PER_S), content=content, tokens=tokens)

    def _add(self, caller_class: str, turns: tuple[PlannedTurn, ...], *, surge: bool) -> None:
        workspace = self._choose_workspace(surge)
        account = Account(workspace=workspace.name, key=workspace.key, caller_class=caller_class)
        name = f"chat-{len(self._chats)}"
        self._chats.append(PlannedChat(name=name, account=account, turns=turns))

    def _choose_workspace(self, surge: bool) -> WorkspacePlan:
        plans = self._deployment.workspaces
        if surge:
            return plans[0]
        return self._random.choices(plans, weights=[plan.traffic for plan in plans])[0]
