"""Operator servers of several instances that share one stand-in log."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import dataclasses

from jujubewharf import bearer
from jujubewharf.configuration import resources
from jujubewharf.experiments import bench as benches
from jujubewharf.operators import client as clients
from jujubewharf.operators import server as servers
from jujubewharf.settings import models
from jujubewharf.standins import engine as engines

_UNUSED_URL = "http://127.0.0.1:9"
BOOTSTRAP_TOKEN = "bootstrap-token"

SERVICE = resources.Service(
    "verdict-llm", resources.ServiceKind.MODEL, model="judge"
)
SHOP = resources.Service("shop-api", resources.ServiceKind.PLAIN)
MODEL = resources.Model("judge", versions=("v1", "v2"))
ENDPOINT = resources.Endpoint(
    "decode-1",
    "verdict-llm",
    "127.0.0.1:7001",
    "norte-a",
    resources.Role.DECODE,
)
TILL = resources.Endpoint(
    "till-1", "shop-api", "127.0.0.1:7002", "norte-a", resources.Role.PLAIN
)
ACCOUNT = resources.Account(
    "shops", bearer.token_digest("shops"), services=("shop-api",)
)
ALL = (MODEL, SERVICE, SHOP, ENDPOINT, TILL, ACCOUNT)


def operator(
    name: str,
    role: resources.OperatorRole,
    services: Sequence[str] = (),
) -> resources.Operator:
    """Returns an operator whose token equals its name."""
    return resources.Operator(
        name, bearer.token_digest(name), role, tuple(services)
    )


@dataclasses.dataclass(slots=True)
class Deployment:
    """Instances that share a log, each with its own operator server."""

    bench: benches.Bench
    servers: dict[str, servers.OperatorServer]
    stack: contextlib.AsyncExitStack

    def address(self, name: str) -> str:
        return f"127.0.0.1:{self.servers[name].port}"

    @property
    def addresses(self) -> list[str]:
        return [self.address(name) for name in sorted(self.servers)]

    def client(
        self, *names: str, token: str = BOOTSTRAP_TOKEN
    ) -> clients.OperatorClient:
        """Returns a client of the named instances, or of all."""
        addresses = [self.address(name) for name in names] or self.addresses
        client = clients.OperatorClient(addresses, token)
        self.stack.push_async_callback(client.close)
        return client


def core_settings() -> dict[str, object]:
    """Returns settings that enable the bootstrap token."""
    digest = bearer.token_digest(BOOTSTRAP_TOKEN)
    platform = {
        "log_url": _UNUSED_URL,
        "live_list_url": _UNUSED_URL,
        "weight_store_url": _UNUSED_URL,
        "log_wait_ms": 50,
    }
    return {
        "operators": {"bootstrap_token_sha256": digest},
        "platform": platform,
    }


@contextlib.asynccontextmanager
async def running(
    *names: str, settings: models.OperatorSettings | None = None
) -> AsyncIterator[Deployment]:
    """Starts instances and waits until each has caught up with the log."""
    bench = benches.Bench()
    bench.add_engine(
        ENDPOINT, engines.EngineSpec(role=ENDPOINT.role.value, model="judge")
    )
    async with contextlib.AsyncExitStack() as stack:
        deployment = Deployment(bench, {}, stack)
        for name in names:
            instance = await bench.start_instance(
                name, "norte-a", settings=core_settings()
            )
            stack.push_async_callback(instance.core.stop)
            await instance.core.configuration.caught_up.wait()
            server = servers.OperatorServer(
                settings or models.OperatorSettings(),
                instance.operators,
                bench.clock,
            )
            await server.start()
            stack.push_async_callback(server.stop)
            deployment.servers[name] = server
        yield deployment
