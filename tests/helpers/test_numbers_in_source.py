"""Where the source turns values into numbers: text from outside only with helpers/numbers.py.

Guards against a digit, a length or a type that `int` and `float` take or refuse in their own way:
one such header ended a request that had run.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import gypsumrouter

PACKAGE = Path(gypsumrouter.__file__).parent
READERS = "helpers/numbers.py"
STANDINS = "standins/"
DIGIT_CHECKS = frozenset({"isdigit", "isdecimal", "isnumeric"})
CONVERSIONS = frozenset({"int", "float"})
# Reviewed conversions of values that are numbers already: results of arithmetic, members of enums,
# fields of messages and of documents whose schema has a number there.
REVIEWED = frozenset(
    {
        ("admission/refusals.py", "int(wait_ms)"),
        ("contention/decision.py", "int(late_ms)"),
        ("contention/decision.py", "int(min(slack_ms, demand.hold_ms))"),
        ("contention/models.py", "int(self.latest_start_ms)"),
        ("contention/queue.py", "int(self._estimate_ahead_ms(item, now_ms))"),
        ("contention/queue.py", "int(self._estimate_ahead_ms(victim, now_ms))"),
        ("contention/workspaces.py", "float(peers.most_unlisted)"),
        ("crashes/messages.py", "int(state)"),
        ("crashes/messages.py", "int(verdict.state)"),
        ("forwarding/eligibility.py", "int(late_ms)"),
        ("forwarding/engine_memory.py", "float(tokens)"),
        ("forwarding/engine_memory.py", "float(value)"),
        ("forwarding/engine_memory.py", "int(expected)"),
        (
            "forwarding/idle_connections.py",
            "float(sum((len(idle) for idle in self._idle.values())))",
        ),
        ("forwarding/loads.py", "float(held_ms)"),
        ("helpers/http_response.py", "int(self.message.code)"),
        ("journal/journal.py", "float(BURST_LINES)"),
        ("link/codec.py", "int(message.offset)"),
        ("link/const.py", "int(kind)"),
        ("link/frames.py", "int(Kind.DATA)"),
        ("link/router_codec.py", "int(notice.knowledge)"),
        ("peers/catch_up.py", "int(accepted)"),
        ("placement/hint.py", "int(digest)"),
        ("platform/configuration.py", "int(limits.header_timeout_ms)"),
        ("platform/configuration.py", "int(limits.idle_timeout_ms)"),
        ("platform/configuration.py", "int(route.target_gap_ms)"),
        ("platform/configuration.py", "int(route.target_latency_ms)"),
        ("platform/configuration.py", "int(route.timeout_ms)"),
        ("platform/entries.py", "int(server.cold_left_ms)"),
        ("platform/requests.py", "int(deadline_ms)"),
        ("suspicion/tracker.py", "int(self._crash_counter.total())"),
        ("upstream/client.py", "float(self._health.generation)"),
        ("upstream/client.py", "float(self.up)"),
    }
)
REVIEWED_FUNCTIONS = frozenset(
    {("link/const.py", "map(int, (Kind.HEAD, Kind.END, Kind.REFUSED, Kind.FAILED))")}
)


def list_nodes() -> Iterator[tuple[str, ast.AST]]:
    for path in sorted(PACKAGE.rglob("*.py")):
        module = str(path.relative_to(PACKAGE))
        if module != READERS and not module.startswith(STANDINS):
            for node in ast.walk(ast.parse(path.read_text())):
                yield module, node


def list_conversions() -> set[tuple[str, str]]:
    """Return the calls of `int` and `float`, other than those of arithmetic and constants."""
    return {
        (module, ast.unparse(node))
        for module, node in list_nodes()
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Name)
        and node.func.id in CONVERSIONS
        and (len(node.args) != 1 or not isinstance(node.args[0], (ast.BinOp, ast.Constant)))
    }


def list_functions() -> set[tuple[str, str]]:
    """Return the calls that get `int` or `float` as a function to call, as `map(int, ...)` does."""
    return {
        (module, ast.unparse(node))
        for module, node in list_nodes()
        if isinstance(node, ast.Call)
        and not (isinstance(node.func, ast.Name) and node.func.id == "isinstance")
        for value in (*node.args, *(keyword.value for keyword in node.keywords))
        if isinstance(value, ast.Name) and value.id in CONVERSIONS
    }


def test_no_module_but_the_readers_checks_digits() -> None:
    found = [
        f"{module}: {node.attr}"
        for module, node in list_nodes()
        if isinstance(node, ast.Attribute) and node.attr in DIGIT_CHECKS
    ]
    assert found == []


def test_no_module_but_the_readers_converts_a_value_that_may_be_text() -> None:
    """A new conversion is reviewed: text and decoded JSON go through helpers/numbers.py."""
    assert list_conversions() - REVIEWED == set()


def test_reviewed_conversions_exist() -> None:
    """Guards against an entry that stays when its code is gone, and then allows new code."""
    assert REVIEWED - list_conversions() == set()


def test_conversions_are_not_passed_as_functions() -> None:
    assert list_functions() == REVIEWED_FUNCTIONS
