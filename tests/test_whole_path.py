"""The whole path on loopback: caller, entry, engines, log, endpoint.

The caller sends a streamed, a whole and a plain request; each answer comes
whole, and afterwards no engine holds memory.
"""

from __future__ import annotations

import asyncio
import contextlib
import json

import aiohttp
from aiohttp import web
import numpy as np

from jujubewharf import clock as clocks
from jujubewharf import entry as entries
from jujubewharf.configuration import border
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.settings import models
from jujubewharf.standins import endpoint as endpoints
from jujubewharf.standins import engine as engines
from jujubewharf.standins import engine_http
from jujubewharf.standins import live_list
from jujubewharf.standins import log
from jujubewharf.standins import weights

HOST = "127.0.0.1"


async def _listen(stack, app: web.Application) -> str:
    runner = web.AppRunner(app)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    return f"{HOST}:{runner.addresses[0][1]}"


def _change(resource: resources.Resource) -> bytes:
    kind = resources.KIND_OF[type(resource)]
    return records.encode(
        records.Change(
            operation_id=f"op-{kind.value}-{resource.name}",
            actor="test",
            verb=records.Verb.PUT,
            kind=kind.value,
            name=resource.name,
            expected_generation=0,
            body=border.dump(resource),
        )
    )


async def test_requests_of_all_kinds_are_answered_whole():
    clock = clocks.Clock()
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        memory_log = log.MemoryLog(clock)
        platform = models.PlatformSettings(
            log_url="http://"
            + await _listen(stack, log.LogFace(memory_log).app()),
            live_list_url="http://"
            + await _listen(
                stack,
                live_list.LiveListFace(live_list.MemoryLiveList(clock)).app(),
            ),
            weight_store_url="http://"
            + await _listen(
                stack,
                weights.WeightStoreFace(weights.MemoryWeightStore()).app(),
            ),
        )
        pool = {}
        declared: list[resources.Resource] = [
            resources.Service(
                "verdict-llm", resources.ServiceKind.MODEL, model="judge"
            ),
            resources.Service("shop-api", resources.ServiceKind.PLAIN),
        ]
        for name, role in (
            ("prefill-1", resources.Role.PREFILL),
            ("decode-1", resources.Role.DECODE),
        ):
            spec = engines.EngineSpec(role=role.value, model="judge")
            pool[name] = engines.Engine(
                name, spec, clock, np.random.default_rng(1)
            )
            face = engine_http.EngineFace(pool[name], session)
            address = await _listen(stack, face.app())
            declared.append(
                resources.Endpoint(
                    name, "verdict-llm", address, "norte-a", role
                )
            )
        till = endpoints.PlainEndpoint("till-1", clock)
        declared.append(
            resources.Endpoint(
                "till-1",
                "shop-api",
                await _listen(stack, till.app()),
                "norte-a",
                resources.Role.PLAIN,
            )
        )
        await memory_log.append(
            records.STREAM, [_change(resource) for resource in declared]
        )
        entry = entries.Entry(
            models.EntrySettings(
                instance="e1",
                region="norte",
                domain="norte-a",
                platform=platform,
            ),
            clock,
        )
        await entry.start()
        stack.push_async_callback(entry.stop)
        base = f"http://{HOST}:{entry.callers.port}"
        await _until_ready(session, base)
        prompt = "answer_tokens=9 " + "word " * 200
        body = {"model": "verdict-llm", "prompt": prompt, "max_tokens": 50}
        expected = "".join(engines.answer_token(prompt, i) for i in range(9))

        async with session.post(f"{base}/v1/completions", json=body) as answer:
            assert answer.status == 200, await answer.text()
            whole = await answer.json()
        assert whole["choices"][0]["text"] == expected

        body["stream"] = True
        async with session.post(f"{base}/v1/completions", json=body) as answer:
            lines = (await answer.text()).splitlines()
        sent = [line[6:] for line in lines if line.startswith("data: ")]
        assert sent[-1] == "[DONE]"
        texts = [json.loads(line)["choices"][0]["text"] for line in sent[:-1]]
        assert "".join(texts) == expected

        async with session.post(
            f"{base}/s/shop-api/stock?item=4", data=b"one"
        ) as answer:
            echoed = await answer.json()
        assert echoed["body"] == "one"
        assert echoed["path"] == "/stock?item=4"
        await asyncio.sleep(0.05)
        for engine in pool.values():
            assert await engine.held() == ()


async def _until_ready(session: aiohttp.ClientSession, base: str) -> None:
    body = {"model": "verdict-llm", "prompt": "hi", "max_tokens": 1}
    for _ in range(200):
        async with session.post(f"{base}/v1/completions", json=body) as answer:
            if answer.status == 200:
                return
        await asyncio.sleep(0.05)
    raise AssertionError("the entry never became ready")
