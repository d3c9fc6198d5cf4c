"""Benchmark of placement: processor time by number of upstreams and cache state of the prompt.

`python -m bench placement-cost [--rounds N] [--contention]`. Each round places one request without
sending it. With `--contention`, the parts for contended load are enabled.
"""

from __future__ import annotations

import argparse
import time
from typing import Final

from bench.replay_placer import add_entries, make_ready_entry, make_replay_placer
from bench.report import print_machine, print_result, print_table
from gypsumrouter.const import EXIT_OK, Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.loads import PeerLoads, UpstreamLoad
from gypsumrouter.forwarding.models import Prompt, PromptPart
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.journal import Journal
from gypsumrouter.settings import Contention
from gypsumrouter.util.clock import ManualClock

ROUNDS: Final = 400
US_PER_S: Final = 1_000_000
SERVICE: Final = "models"
ENGINE_TOKENS: Final = 443_550
# Numbers of upstreams and of peers that report their loads.
SIZES: Final = ((24, 10), (39, 18), (930, 45))
CACHED_PROMPT, UNCACHED_PROMPT, NO_PROMPT = "held prompt", "unknown prompt", "no prompt"


def make_placer(*, upstreams: int, peers: int, contention: Contention | None = None) -> Placer:
    """Return a placer with ready upstreams and the reported loads of its peers."""
    clock = ManualClock(now_ms=100_000)
    app = Application(name="r", role=Role.FORWARDER, data_centre="dc-0", region="r", clock=clock)
    journal = Journal(app=app)
    directory = Directory(app=app, journal=journal)
    placer = make_replay_placer(
        app=app,
        journal=journal,
        directory=directory,
        cap=Cap(factor=2.0, slack=2.0),
        contention=contention,
    )
    if placer.uneven_load.engine_memory is not None:
        placer.uneven_load.engine_memory.set_capacities({SERVICE: ENGINE_TOKENS})
    names = [f"i-{number}" for number in range(upstreams)]
    add_entries(
        directory,
        (
            make_ready_entry(name, service=SERVICE, slots=64, data_centre=f"dc-{number % 3}")
            for number, name in enumerate(names)
        ),
    )
    speeds = placer.uneven_load.engine_speeds
    if speeds is not None:
        for name in names:
            speeds.note(name, tokens=5_000, first_event_ms=150, now_ms=clock.now_ms())
    for peer in range(peers):
        loads = {name: UpstreamLoad(running=1 + peer % 3, pending_tokens=0) for name in names}
        placer.loads.set_peer_loads(f"p{peer}", PeerLoads(received_ms=clock.now_ms(), loads=loads))
    return placer


def make_prompt(number: int) -> Prompt:
    """Return a prompt of two shared parts and a unique part."""
    parts = (
        PromptPart(part=1, tokens=500),
        PromptPart(part=1_000 + number, tokens=10_000),
        PromptPart(part=(number << 20) + 7, tokens=100),
    )
    return Prompt(model="m", parts=parts, input_tokens=10_600, max_output_tokens=80)


def measure(placer: Placer, case: str, rounds: int) -> float:
    """Return the mean processor time of a placement in microseconds."""
    spent_s = 0.0
    for number in range(rounds):
        prompt = None if case == NO_PROMPT else make_prompt(number)
        if case == CACHED_PROMPT:
            for part in (1, 1_000 + number):
                placer.note_cached(part=part, upstream="i-7")
            if placer.uneven_load.prompt_spread is not None:
                placer.uneven_load.prompt_spread.note_placed(1_000 + number, now_ms=100_000)
        begin_s = time.process_time()
        placed = placer.place(service=SERVICE, prompt=prompt, excluded=(), limit_ms=400)
        spent_s += time.process_time() - begin_s
        assert not isinstance(placed, PlacementRefusal)
    return spent_s / rounds * US_PER_S


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench placement-cost")
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    parser.add_argument("--contention", action="store_true")
    options = parser.parse_args(argv)
    rounds = options.rounds
    contention = Contention() if options.contention else None
    rows = []
    result: dict[str, float] = {}
    for upstreams, peers in SIZES:
        costs = {
            case: measure(
                make_placer(upstreams=upstreams, peers=peers, contention=contention), case, rounds
            )
            for case in (CACHED_PROMPT, UNCACHED_PROMPT, NO_PROMPT)
        }
        rows.append((upstreams, peers, *(round(cost) for cost in costs.values())))
        result |= {f"{case} at {upstreams}": round(cost) for case, cost in costs.items()}
    print_machine()
    print_table(
        title="processor time of a placement, microseconds",
        columns=("upstreams", "peers", CACHED_PROMPT, UNCACHED_PROMPT, NO_PROMPT),
        rows=rows,
    )
    print_result(result)
    return EXIT_OK
