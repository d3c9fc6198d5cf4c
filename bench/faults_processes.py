"""Faults of processes: kill, replacement, pause, late resume and graceful stop."""

from __future__ import annotations

import asyncio
import random
import signal

from bench.faults_stage import Stage, async_measure_new_work

RESTART_DELAY_MS = (200, 1_500)
PAUSE_MS = (1_000, 4_000)
DRAIN_MS = 2_500


async def async_kill_side(stage: Stage, randomness: random.Random) -> None:
    """Kill a side and start one with the same name at a new address."""
    with stage.reserve_side(randomness) as name:
        await stage.async_kill_side(name)
        await stage.async_pause(randomness, *RESTART_DELAY_MS)
        await stage.async_start_side(name)


async def async_kill_side_renamed(stage: Stage, randomness: random.Random) -> None:
    """Kill a side and start one with another name."""
    with stage.reserve_side(randomness) as name:
        await stage.async_kill_side(name)
        await stage.async_pause(randomness, *RESTART_DELAY_MS)
        stage.rig.platform.remove_listed(name)
        await stage.async_start_side(stage.rig.make_replacement(name))


async def async_kill_router(stage: Stage, randomness: random.Random) -> None:
    """Kill a router and start one with the same or another name."""
    with stage.reserve_router(randomness) as name:
        renamed = randomness.random() < 0.5
        await stage.async_kill_router(name)
        await stage.async_pause(randomness, *RESTART_DELAY_MS)
        if renamed:
            stage.rig.platform.remove_listed(name)
        await stage.async_start_router(stage.choose_router_index(name, renamed=renamed))


async def async_pause_side(stage: Stage, randomness: random.Random) -> None:
    """Pause a side for a few seconds."""
    with stage.reserve_side(randomness) as name:
        process = stage.rig.sides[name]
        process.send_signal(signal.SIGSTOP)
        await stage.async_pause(randomness, *PAUSE_MS)
        process.send_signal(signal.SIGCONT)


async def async_pause_router(stage: Stage, randomness: random.Random) -> None:
    """Pause a router for a few seconds."""
    with stage.reserve_router(randomness) as name:
        process = stage.rig.routers[name]
        with stage.record_paused(process):
            process.send_signal(signal.SIGSTOP)
            await stage.async_pause(randomness, *PAUSE_MS)
            process.send_signal(signal.SIGCONT)


async def async_replace_paused_side(stage: Stage, randomness: random.Random) -> None:
    """Pause a side, replace it, and resume the old process while its successor runs."""
    with stage.reserve_side(randomness) as name:
        paused = stage.rig.sides.pop(name)
        paused.send_signal(signal.SIGSTOP)
        try:
            await stage.async_pause(randomness, *RESTART_DELAY_MS)
            successor = name
            if randomness.random() < 0.5:
                stage.rig.platform.remove_listed(name)
                successor = stage.rig.make_replacement(name)
            await stage.async_start_side(successor)
            paused.send_signal(signal.SIGCONT)
            await stage.async_pause(randomness, 1_500, 2_500)
        finally:
            await paused.async_kill()


async def async_stop_side(stage: Stage, randomness: random.Random) -> None:
    """Stop a side gracefully and replace it."""
    with stage.reserve_side(randomness) as name:
        stage.journal.work_after_stop_s.append(await _async_stop_and_measure(stage, name))
        stage.rig.platform.remove_listed(name)
        await stage.async_start_side(name)


async def async_stop_listed_side(stage: Stage, randomness: random.Random) -> None:
    """Mark a side as draining on the instance list, stop it later and replace it."""
    with stage.reserve_side(randomness) as name:
        stage.rig.platform.mark_draining(name)
        stopped = asyncio.Event()
        measuring = asyncio.create_task(
            async_measure_new_work(
                clock=stage.clock, upstream=stage.rig.get_upstream(name), until=stopped
            )
        )
        await stage.clock.async_sleep(DRAIN_MS)
        await _async_stop_and_measure(stage, name)
        stopped.set()
        stage.journal.work_after_mark_s.append(await measuring)
        stage.rig.platform.remove_listed(name)
        await stage.async_start_side(name)


async def async_stop_router(stage: Stage, randomness: random.Random) -> None:
    """Stop a router gracefully and replace it."""
    with stage.reserve_router(randomness) as name:
        await stage.async_stop_router(name)
        await stage.async_start_router(stage.choose_router_index(name, renamed=False))


async def _async_stop_and_measure(stage: Stage, name: str) -> float:
    """Stop a side and return the seconds for which its upstream still got new requests."""
    process = stage.rig.sides.pop(name)
    stopped = asyncio.Event()
    process.send_signal(signal.SIGTERM)
    measuring = asyncio.create_task(
        async_measure_new_work(
            clock=stage.clock, upstream=stage.rig.get_upstream(name), until=stopped
        )
    )
    await stage.async_wait_for_exit(process)
    stopped.set()
    return await measuring
