"""Commands for the when-then rules of a configuration."""

from __future__ import annotations

import json
import sys
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
from msgspec import to_builtins

from gypsumrouter.cli.config import read_configuration
from gypsumrouter.const import EXIT_SETTINGS, MS_PER_S, PATH_CHAT, UpstreamKind
from gypsumrouter.policy import Decision, Explanation, Policy, RequestFacts


@click.group("rules")
def rules_group() -> None:
    """Evaluate the when-then rules of a configuration."""


@rules_group.command("explain")
@click.option("--configuration", required=True, type=click.Path(path_type=Path))
@click.option("--workspace", required=True)
@click.option("--class", "caller_class", default="", help="The class that the caller requests.")
@click.option("--model", default="", help="The model of a chat.")
@click.option("--service", default="", help="The service of a service call.")
@click.option("--method", default="POST", show_default=True)
@click.option("--path", default="", help="The path of a service call, without the service prefix.")
@click.option("--bytes", "size_bytes", default=0, type=click.IntRange(min=0))
@click.option("--returning", is_flag=True, help="The chat has had earlier requests.")
@click.option("--data-centre", default="")
@click.option("--at", default="", help="UTC time such as 2026-01-31T07:30; default: now.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON document.")
def explain(configuration: Path, as_json: bool, **options: Any) -> None:
    """Show which rule applies to a request, why earlier rules don't match, and the effects."""
    checked = read_configuration(configuration)
    policy = Policy(configuration=checked)
    facts = _build_facts(options)
    if policy.get_workspace(facts.workspace) is None:
        _fail(f"the configuration has no workspace {facts.workspace!r}")
    explanation = policy.explain(facts)
    if as_json:
        click.echo(json.dumps(build_report(explanation, facts, policy), indent=2))
        return
    _print_explanation(explanation, facts, policy)


def build_report(explanation: Explanation, facts: RequestFacts, policy: Policy) -> dict[str, Any]:
    """Return an explanation as plain JSON data."""
    return {
        "rule": explanation.decision.rule,
        "not_matched": [to_builtins(miss) for miss in explanation.misses],
        "follows": dict(list_effects(explanation.decision)),
        "must_not_repeat": _must_not_repeat(explanation.decision, facts, policy),
    }


def list_effects(decision: Decision) -> list[tuple[str, object]]:
    """Return the effects of a decision on the request, as pairs of name and value."""
    effects: list[tuple[str, object]] = [
        ("caller_class", decision.caller_class.name),
        ("first_token_ms", decision.caller_class.first_token_ms),
        ("answer_ms", decision.caller_class.answer_ms),
        ("penalty", decision.caller_class.penalty),
        ("batch", decision.caller_class.batch),
        ("pool", None if decision.pool is None else decision.pool.name),
        ("next_pool", None if decision.next_pool is None else decision.next_pool.name),
        ("max_output_tokens", decision.max_output_tokens),
        ("concurrent", decision.concurrent),
        ("requests_per_s", decision.requests_per_s),
        ("deadline_ms", decision.deadline_ms),
        ("refuse", decision.refuse),
        ("retry_after_ms", decision.retry_after_ms),
    ]
    return [(name, value) for name, value in effects if value is not None]


def _build_facts(options: dict[str, Any]) -> RequestFacts:
    model, service = options["model"], options["service"]
    if bool(model) == bool(service):
        _fail("expected exactly one of --model and --service")
    kind = UpstreamKind.ENGINE if model else UpstreamKind.SERVICE
    return RequestFacts(
        workspace=options["workspace"],
        kind=kind,
        wall_ms=_read_time(options["at"]),
        caller_class=options["caller_class"],
        model=model,
        service=service,
        method=options["method"].upper(),
        path=options["path"] or (PATH_CHAT if model else "/"),
        size_bytes=options["size_bytes"],
        returning=options["returning"],
        data_centre=options["data_centre"],
    )


def _read_time(text: str) -> int:
    if not text:
        return time.time_ns() // 1_000_000
    try:
        at = datetime.fromisoformat(text)
    except ValueError:
        _fail(f"{text!r} is not a valid --at time; expected a time such as 2026-01-31T07:30")
    return int((at if at.tzinfo else at.replace(tzinfo=UTC)).timestamp() * MS_PER_S)


def _must_not_repeat(decision: Decision, facts: RequestFacts, policy: Policy) -> bool:
    if decision.pool is None:
        return False
    return policy.must_not_repeat(pool=decision.pool.name, method=facts.method, path=facts.path)


def _print_explanation(explanation: Explanation, facts: RequestFacts, policy: Policy) -> None:
    for miss in explanation.misses:
        click.echo(
            f"  {miss.rule}: not matched, {miss.condition} is {miss.found or 'not given'}, "
            f"needed: {miss.needed}"
        )
    rule = explanation.decision.rule
    click.echo("No rule matches" if rule is None else f"Rule {rule} counts")
    for name, value in list_effects(explanation.decision):
        click.echo(f"  {name:<18} {value}")
    if _must_not_repeat(explanation.decision, facts, policy):
        click.echo("  must not be repeated: it needs an idempotency key")


def _fail(message: str) -> Any:
    click.echo(message, err=True)
    sys.exit(EXIT_SETTINGS)
