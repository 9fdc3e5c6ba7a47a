"""A small deployment on loopback: stand-ins, an entry instance, a caller."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import hashlib

import aiohttp
from aiohttp import web
import numpy as np

from jujubewharf import clock as clocks
from jujubewharf import entry as entries
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.settings import models
from jujubewharf.standins import declarations
from jujubewharf.standins import endpoint as endpoints
from jujubewharf.standins import engine as engines
from jujubewharf.standins import engine_http
from jujubewharf.standins import live_list
from jujubewharf.standins import log
from jujubewharf.standins import weights

HOST = "127.0.0.1"
MODEL = resources.Service(
    "verdict-llm", resources.ServiceKind.MODEL, model="judge"
)
PLAIN = resources.Service(
    "shop-api", resources.ServiceKind.PLAIN, repeatable=False
)
FAST = engines.EngineSpec(
    prefill_ms_per_token=0.01,
    step_base_ms=1.0,
    step_ms_per_request=0.0,
    report_lag_ms=1.0,
    model="judge",
)


def account(name: str, token: str, **limits: object) -> resources.Account:
    """Creates an account with a token."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return resources.Account(name, digest, **limits)


def expected_answer(prompt: str, count: int) -> str:
    """Returns the whole answer that any stand-in engine generates."""
    return "".join(engines.answer_token(prompt, i) for i in range(count))


class Loopback:
    """The deployment; create it with ``deployed``.

    Attributes:
        base: URL of the entry instance.
        session: HTTP session of the caller.
        engines: Stand-in engines by name.
        plain_endpoints: Stand-in endpoints by name.
    """

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        self.clock = clocks.Clock()
        self.base = ""
        self.engines: dict[str, engines.Engine] = {}
        self.plain_endpoints: dict[str, endpoints.PlainEndpoint] = {}
        self.log = log.MemoryLog(self.clock)
        self.entry: entries.Entry
        self.session: aiohttp.ClientSession
        self._stack = stack

    async def listen(self, app: web.Application, **options: object) -> str:
        """Serves an application until the deployment is stopped."""
        runner = web.AppRunner(
            app, shutdown_timeout=0.1, access_log=None, **options
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, HOST, 0)
        await site.start()
        return f"{HOST}:{runner.addresses[0][1]}"

    async def declare(self, *declared: resources.Resource) -> None:
        """Appends resources to the configuration stream."""
        payloads = [
            declarations.put(resource, f"op-{resource.name}")
            for resource in declared
        ]
        await self.log.append(records.STREAM, payloads)

    async def start(
        self,
        *declared: resources.Resource,
        spec: engines.EngineSpec = FAST,
        callers: models.CallerSettings,
    ) -> None:
        """Starts and declares the stand-ins, then starts the instance."""
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession()
        )
        platform = models.PlatformSettings(
            log_url=await self._url(log.LogServer(self.log).app()),
            live_list_url=await self._url(
                live_list.LiveListServer(
                    live_list.MemoryLiveList(self.clock)
                ).app()
            ),
            weight_store_url=await self._url(
                weights.WeightStoreServer(weights.MemoryWeightStore()).app()
            ),
        )
        await self.declare(MODEL, PLAIN, *declared)
        await self._add_engine("prefill-1", resources.Role.PREFILL, spec)
        await self._add_engine("decode-1", resources.Role.DECODE, spec)
        await self._add_plain_endpoint("till-1")
        settings = models.EntrySettings(
            instance="e1",
            region="norte",
            domain="norte-a",
            platform=platform,
            callers=callers,
        )
        self.entry = entries.Entry(settings, self.clock)
        await self.entry.start()
        self._stack.push_async_callback(self.entry.stop)
        assert self.entry.callers is not None
        self.base = f"http://{HOST}:{self.entry.callers.port}"
        await self._until_ready()

    async def wait_until_released(self) -> None:
        """Waits until no engine holds memory; fails after 4 s."""
        for _ in range(200):
            held = [await e.held() for e in self.engines.values()]
            if not any(held):
                return
            await asyncio.sleep(0.02)
        raise AssertionError(f"engines hold memory: {held}")

    async def wait_until_held(self) -> None:
        """Waits until an engine holds memory; fails after 2 s."""
        for _ in range(200):
            if any([await e.held() for e in self.engines.values()]):
                return
            await asyncio.sleep(0.01)
        raise AssertionError("no engine ever held memory")

    async def wait_until_engines_gone(self) -> None:
        """Waits until the instance has noticed that all engines are gone."""
        for _ in range(400):
            views = self.entry.core.fleet.views_of(MODEL.name)
            if not any(view.takes_work for view in views):
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the entry still sends work to dead engines")

    async def _url(self, app: web.Application) -> str:
        return f"http://{await self.listen(app)}"

    async def _add_engine(
        self, name: str, role: resources.Role, spec: engines.EngineSpec
    ) -> None:
        engine = engines.Engine(
            name, spec, self.clock, np.random.default_rng(1)
        )
        self.engines[name] = engine
        face = engine_http.EngineServer(engine, self.session)
        address = await self.listen(face.app())
        await self.declare(
            resources.Endpoint(name, MODEL.name, address, "norte-a", role)
        )

    async def _add_plain_endpoint(self, name: str) -> None:
        till = endpoints.PlainEndpoint(name, self.clock)
        self.plain_endpoints[name] = till
        address = await self.listen(till.app())
        role = resources.Role.PLAIN
        await self.declare(
            resources.Endpoint(name, PLAIN.name, address, "norte-a", role)
        )

    async def _until_ready(self) -> None:
        core = self.entry.core
        for _ in range(400):
            async with self.session.get(f"{self.base}/readyz") as answer:
                is_ready = answer.status == 200
            views = core.fleet.views_of(MODEL.name)
            if is_ready and len(views) == 2:
                if all(view.takes_work for view in views):
                    return
            await asyncio.sleep(0.01)
        raise AssertionError("the entry never became ready")


@contextlib.asynccontextmanager
async def deployed(
    *declared: resources.Resource,
    spec: engines.EngineSpec = FAST,
    **callers: object,
) -> AsyncIterator[Loopback]:
    """Runs a deployment with further resources and caller settings."""
    async with contextlib.AsyncExitStack() as stack:
        loopback = Loopback(stack)
        settings = models.CallerSettings.model_validate(callers)
        await loopback.start(*declared, spec=spec, callers=settings)
        yield loopback
