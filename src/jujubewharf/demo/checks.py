"""Checks against the counters of engines and endpoints after the load."""

from __future__ import annotations

import asyncio
import collections

import aiohttp

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.demo import deployment as deployments
from jujubewharf.demo import load
from jujubewharf.engines import http as engine_http

_RELEASE_WAIT_S = 5.0
_RELEASE_POLL_S = 0.2


async def find_execution_count_errors(
    outcomes: list[load.Outcome],
    deployment: deployments.Deployment,
    session: aiohttp.ClientSession,
) -> list[str]:
    """Finds requests that did not run exactly once.

    A cancelled request may have run once or not at all.

    Returns:
        One line for each request that ran too often or not at all.
    """
    answers = await _count_answers(deployment, session)
    plain_runs = await _count_plain_runs(deployment, session)
    lines = []
    for outcome in outcomes:
        if outcome.kind is load.Kind.PLAIN:
            run_count = sum(
                plain_runs[request_id] for request_id in outcome.request_ids
            )
        else:
            run_count = answers[outcome.prompt_digest]
        is_cancelled = outcome.kind is load.Kind.CANCELLED
        if run_count > 1 or (run_count < 1 and not is_cancelled):
            lines.append(f"{outcome.kind.value}: request ran {run_count} times")
    return lines


async def find_held_memory(
    deployment: deployments.Deployment, session: aiohttp.ClientSession
) -> list[str]:
    """Lists memory that engines still hold once releases had time to arrive."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + _RELEASE_WAIT_S
    while True:
        held = await _list_held_memory(deployment, session)
        if not held or loop.time() > deadline_s:
            return held
        await asyncio.sleep(_RELEASE_POLL_S)


async def _list_held_memory(
    deployment: deployments.Deployment, session: aiohttp.ClientSession
) -> list[str]:
    lines = []
    for endpoint in deployment.engines():
        client = engine_http.HttpEngineClient(
            endpoint.name, endpoint.address, session, clocks.Clock()
        )
        for item in await client.held():
            attempt_id = item.attempt.attempt_id
            lines.append(
                f"{endpoint.name} still holds memory for attempt {attempt_id}"
            )
    return lines


async def _count_answers(
    deployment: deployments.Deployment, session: aiohttp.ClientSession
) -> collections.Counter[str]:
    answers: collections.Counter[str] = collections.Counter()
    for endpoint in deployment.engines():
        url = f"http://{endpoint.address}/counts"
        async with session.post(url, json={}) as response:
            answers.update((await response.json())["answers"])
    return answers


async def _count_plain_runs(
    deployment: deployments.Deployment, session: aiohttp.ClientSession
) -> collections.Counter[str]:
    runs: collections.Counter[str] = collections.Counter()
    for endpoint in deployment.endpoints:
        if endpoint.role is not resources.Role.PLAIN:
            continue
        url = f"http://{endpoint.address}/-/runs"
        async with session.get(url) as response:
            runs.update(await response.json())
    return runs
