"""Ablation benchmark: measures the effect of disabling each mechanism of the forwarder.

Each command is run in a copy of the repository whose deploy template disables one mechanism. The
commands are options; each writes a JSON report that contains the compared figure.
"""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

import click
from msgspec import Struct

from gypsumrouter.mechanisms import Mechanism

TEMPLATE: Final = Path("deploy/forwarder.json.tmpl")
ALL_ENABLED: Final = "(all on)"
REPORT_PLACEHOLDER: Final = "{report}"
# Files and folders that a command needs in the copy.
COPIED_PATHS: Final = ("deploy", "gypsumrouter", "target", "pyproject.toml", "requirements.txt")
COMMAND_TIMEOUT_S: Final = 1_800


class AblationRun(Struct, frozen=True, kw_only=True):
    """One run: the disabled mechanism, and the index of the command."""

    disabled: str
    command: int


def disable_mechanism(template: str, mechanism: str) -> str:
    """Return the deploy template with one mechanism disabled."""
    if mechanism == ALL_ENABLED:
        return template
    head, brace, tail = template.partition("{")
    return f'{head}{brace}\n  "without": ["{mechanism}"],{tail}'


def copy_repository(*, source: Path, target: Path, mechanism: str) -> None:
    """Copy the repository, with one mechanism disabled in its deploy template."""
    target.mkdir(parents=True)
    for name in COPIED_PATHS:
        path = source / name
        if path.is_dir():
            shutil.copytree(path, target / name, symlinks=True)
        elif path.exists():
            shutil.copy2(path, target / name)
    template = target / TEMPLATE
    template.write_text(disable_mechanism(template.read_text(), mechanism))
    for command in (("init", "-q"), ("add", "-A")):
        subprocess.run(("git", *command), cwd=target, check=True)


def run_command(*, folder: Path, command: str, report: Path, field: str) -> float | None:
    """Run a command and return the figure from its report; None if there is none."""
    arguments = [part.replace(REPORT_PLACEHOLDER, str(report)) for part in command.split()]
    with report.with_suffix(".txt").open("w") as log:
        subprocess.run(
            arguments, cwd=folder, stdout=log, stderr=log, timeout=COMMAND_TIMEOUT_S, check=False
        )
    try:
        return float(json.loads(report.read_text())[field])
    except (OSError, ValueError, KeyError):
        return None


def format_table(figures: dict[AblationRun, float | None], commands: int) -> str:
    """Return a Markdown table: per mechanism the mean, the gain from it, and each run."""
    base = _mean(
        [figures.get(AblationRun(disabled=ALL_ENABLED, command=n)) for n in range(commands)]
    )
    rows = ["| without | mean | gain | runs |", "| --- | --- | --- | --- |"]
    for name in dict.fromkeys(run.disabled for run in figures):
        values = [figures.get(AblationRun(disabled=name, command=n)) for n in range(commands)]
        mean = _mean(values)
        gain = "" if mean is None or base is None else f"{base - mean:+.4f}"
        shown = " ".join("failed" if value is None else f"{value:.3f}" for value in values)
        rows.append(f"| {name} | {'' if mean is None else f'{mean:.4f}'} | {gain} | {shown} |")
    return "\n".join(rows)


def _mean(values: Sequence[float | None]) -> float | None:
    known = [value for value in values if value is not None]
    return sum(known) / len(known) if known and len(known) == len(values) else None


@click.command()
@click.option(
    "--play",
    "commands",
    multiple=True,
    required=True,
    help=f"A command to run; {REPORT_PLACEHOLDER} becomes the path of its report. Repeatable.",
)
@click.option(
    "--scratch",
    type=click.Path(path_type=Path),
    required=True,
    help="Folder for copies, logs and reports.",
)
@click.option("--only", multiple=True, help="Mechanism to disable; repeatable. Default: all.")
@click.option(
    "--field", default="G", show_default=True, help="Name of the compared figure in a report."
)
@click.option("--jobs", default=4, show_default=True)
def run(
    commands: tuple[str, ...], scratch: Path, only: tuple[str, ...], field: str, jobs: int
) -> None:
    """Run each command with all mechanisms enabled, and with each one disabled."""
    names = (ALL_ENABLED, *(only or tuple(mechanism.value for mechanism in Mechanism)))
    scratch = scratch.resolve()
    for name in names:
        copy_repository(source=Path.cwd(), target=scratch / name, mechanism=name)
    runs = [AblationRun(disabled=name, command=n) for name in names for n in range(len(commands))]

    def run_one(one: AblationRun) -> float | None:
        return run_command(
            folder=scratch / one.disabled,
            command=commands[one.command],
            report=scratch / f"{one.disabled}.{one.command}.json",
            field=field,
        )

    with ThreadPoolExecutor(max_workers=jobs) as pool:
        figures = dict(zip(runs, pool.map(run_one, runs), strict=True))
    print(format_table(figures, len(commands)))


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    os.environ.setdefault("PYTHONDONTWRITEBYTECODE", "1")
    run.main(args=argv, prog_name="python -m bench ablate", standalone_mode=False)
    sys.stdout.flush()
    return 0
