"""Caller classes of a configuration, as admission uses them."""

from __future__ import annotations

from typing import Final

from gypsumrouter.admission.const import BATCH_PRIORITY
from gypsumrouter.configuration.models import CallerClass, Configuration

_FALLBACK_CLASS: Final = CallerClass(name="default")


class CallerClasses:
    """Looks up classes by name and maps each to the priority passed to the engine."""

    __slots__ = (
        "_by_name",
        "_default",
        "_priorities",
        "batch_penalty",
        "first_token_ms",
        "interactive_penalty",
    )

    def __init__(self) -> None:
        self._default = _FALLBACK_CLASS
        self._by_name: dict[str, CallerClass] = {}
        self._priorities: dict[str, int] = {}
        self.batch_penalty = 0.0
        self.first_token_ms = 0
        self.interactive_penalty = 0.0

    def configure(self, configuration: Configuration) -> None:
        """Apply the classes of a configuration."""
        self._by_name = {item.name: item for item in configuration.classes}
        self._default = self._by_name.get(configuration.default_class or "", _FALLBACK_CLASS)
        ranked = sorted(
            (item for item in configuration.classes if not item.batch),
            key=lambda item: (item.penalty, -item.first_token_ms, item.name),
        )
        self.batch_penalty = _get_highest_penalty(configuration.classes, batch=True)
        self.interactive_penalty = _get_highest_penalty(configuration.classes, batch=False)
        self.first_token_ms = min((item.first_token_ms for item in ranked), default=0)
        self._priorities = {
            item.name: BATCH_PRIORITY + rank for rank, item in enumerate(ranked, start=1)
        }

    def get(self, name: str) -> CallerClass:
        """Return a class by name, or the default class for an unknown name."""
        return self._by_name.get(name, self._default)

    def get_priority(self, caller_class: CallerClass) -> int:
        """Return the engine priority: lowest for batch, else ranked by penalty."""
        if caller_class.batch:
            return BATCH_PRIORITY
        return self._priorities.get(caller_class.name, BATCH_PRIORITY + 1)


def _get_highest_penalty(classes: tuple[CallerClass, ...], *, batch: bool) -> float:
    return max((item.penalty for item in classes if item.batch is batch), default=0.0)
