"""Starts the demo deployment: two failure domains on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import json
import pathlib
import secrets
import signal
import socket

import aiohttp

from jujubewharf.configuration import resources
from jujubewharf.demo import processes
from jujubewharf.platform import live_list

REGION = "norte"
DOMAINS = ("norte-a", "norte-b")
MODEL_SERVICE = "verdict-llm"
PLAIN_SERVICE = "shop-api"
MODEL = "judge"
_INSTANCES_PER_DOMAIN = 2
_ENGINE_ROLES = (
    resources.Role.PREFILL,
    resources.Role.DECODE,
    resources.Role.BOTH,
)
# Generous, because the default target causes refusals on slow machines.
_FIRST_ANSWER_TARGET_MS = 10_000.0
_READY_TIMEOUT_S = 20.0
_READY_POLL_S = 0.1
_HTTP_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """Addresses on which an entry instance listens, as ``IP:PORT``.

    Attributes:
        instance: Name of the instance.
        domain: Failure domain of the instance.
        callers: Address for callers.
        operators: Address of the operator RPC.
        peers: Address for other instances.
    """

    instance: str
    domain: str
    callers: str
    operators: str
    peers: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplacementResult:
    """Result of replacing an instance.

    Attributes:
        exit_code: Exit code of the drained process.
        drained_s: Seconds from SIGTERM until that process exited.
    """

    exit_code: int
    drained_s: float


_Condition = Callable[[EntryAddress, aiohttp.ClientSession], Awaitable[bool]]


@dataclasses.dataclass(slots=True)
class Deployment:
    """A running deployment.

    Attributes:
        entries: The entry instances.
        children: Processes of the entry instances, by instance name.
        endpoints: Engines and plain endpoints.
        log_url: URL of the platform log.
        live_list_url: URL of the platform's live list.
        operator_token: Token of the built-in administrator.
    """

    entries: list[EntryAddress]
    children: dict[str, processes.Child]
    endpoints: list[resources.Endpoint]
    log_url: str
    live_list_url: str
    operator_token: str

    def declared_resources(self) -> list[resources.Resource]:
        """Returns the resources that operators apply to this deployment."""
        return [
            resources.Model(MODEL, versions=("1",)),
            resources.Service(
                MODEL_SERVICE,
                resources.ServiceKind.MODEL,
                model=MODEL,
                first_answer_target_ms=_FIRST_ANSWER_TARGET_MS,
            ),
            resources.Service(PLAIN_SERVICE, resources.ServiceKind.PLAIN),
            *self.endpoints,
        ]

    def engines(self) -> list[resources.Endpoint]:
        """Returns the endpoints that serve a model."""
        plain = resources.Role.PLAIN
        return [e for e in self.endpoints if e.role is not plain]


async def start(
    running: processes.Processes, directory: pathlib.Path
) -> Deployment:
    """Starts the platform stand-ins, then the endpoints and instances.

    Raises:
        StartError: If a process does not start.
    """
    platform = await asyncio.gather(
        running.start_standin("log", "log"),
        running.start_standin("live-list", "live-list", "--lag-ms", "500"),
        running.start_standin("weight-store", "weight-store"),
    )
    log_url, live_list_url, weight_store_url = (f"http://{a}" for a in platform)
    starts = [_start_endpoint(running, *one) for one in _endpoint_specs()]
    endpoints = list(await asyncio.gather(*starts))
    token = secrets.token_hex()
    token_sha256 = hashlib.sha256(token.encode()).hexdigest()
    deployment = Deployment([], {}, endpoints, log_url, live_list_url, token)
    for domain in DOMAINS:
        for number in range(1, _INSTANCES_PER_DOMAIN + 1):
            entry = _entry_address(f"entry-{domain[-1]}{number}", domain)
            settings = _settings(
                entry,
                log_url,
                live_list_url,
                weight_store_url,
                token_sha256,
            )
            path = directory / f"{entry.instance}.json"
            path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
            deployment.entries.append(entry)
            deployment.children[entry.instance] = await _start_entry(
                running, entry, path
            )
    return deployment


async def _start_entry(
    running: processes.Processes, entry: EntryAddress, path: pathlib.Path
) -> processes.Child:
    return await running.start(
        entry.instance, "entry", "--settings", str(path), settings_path=path
    )


async def publish_live_list(
    deployment: Deployment, session: aiohttp.ClientSession
) -> None:
    """Publishes every instance and endpoint on the live list."""
    live = live_list.LiveState.LIVE.value
    members = [
        {
            "name": entry.instance,
            "address": entry.peers,
            "domain": entry.domain,
            "is_entry": True,
            "state": live,
        }
        for entry in deployment.entries
    ]
    members += [
        {
            "name": endpoint.name,
            "address": endpoint.address,
            "domain": endpoint.domain,
            "is_entry": False,
            "state": live,
        }
        for endpoint in deployment.endpoints
    ]
    url = f"{deployment.live_list_url}/list"
    async with session.post(url, json=members) as response:
        response.raise_for_status()


async def is_ready(entry: EntryAddress, session: aiohttp.ClientSession) -> bool:
    """Returns whether the readiness probe of an instance succeeds."""
    try:
        async with session.get(f"http://{entry.callers}/readyz") as answer:
            return answer.status == _HTTP_OK
    except aiohttp.ClientError:
        return False


async def wait_until_ready(
    deployment: Deployment, session: aiohttp.ClientSession
) -> None:
    """Waits until every instance is ready.

    Raises:
        StartError: If an instance exits or does not become ready in time.
    """
    waiters = [
        _wait_for(deployment, entry, is_ready, session)
        for entry in deployment.entries
    ]
    await asyncio.gather(*waiters)


async def wait_until_answering(
    deployment: Deployment, session: aiohttp.ClientSession
) -> None:
    """Waits until every instance answers a plain and a model request.

    Raises:
        StartError: If an instance exits or does not answer in time.
    """
    waiters = [
        _wait_for(deployment, entry, _is_answering, session)
        for entry in deployment.entries
    ]
    await asyncio.gather(*waiters)


async def replace(
    running: processes.Processes,
    deployment: Deployment,
    entry: EntryAddress,
    session: aiohttp.ClientSession,
) -> ReplacementResult:
    """Drains an instance with SIGTERM and restarts it on the same address.

    While its readiness probe fails, the instance is removed from
    ``deployment.entries`` and gets no load, as behind a load balancer.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    child = deployment.children[entry.instance]
    child.send(signal.SIGTERM)
    await _wait_for(deployment, entry, _is_not_ready, session)
    deployment.entries.remove(entry)
    exit_code = await child.process.wait()
    drained_s = loop.time() - started_s
    deployment.children[entry.instance] = await _start_entry(
        running, entry, child.settings_path
    )
    await _wait_for(deployment, entry, is_ready, session)
    deployment.entries.append(entry)
    return ReplacementResult(exit_code, drained_s)


async def _is_not_ready(
    entry: EntryAddress, session: aiohttp.ClientSession
) -> bool:
    return not await is_ready(entry, session)


async def _wait_for(
    deployment: Deployment,
    entry: EntryAddress,
    condition: _Condition,
    session: aiohttp.ClientSession,
) -> None:
    child = deployment.children[entry.instance]
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + _READY_TIMEOUT_S
    while loop.time() < deadline_s and child.is_running:
        if await condition(entry, session):
            return
        await asyncio.sleep(_READY_POLL_S)
    raise processes.StartError(
        f"{entry.instance} exited or timed out; see {child.log_path}"
    )


async def _is_answering(
    entry: EntryAddress, session: aiohttp.ClientSession
) -> bool:
    base = f"http://{entry.callers}"
    body = {"model": MODEL_SERVICE, "prompt": "ready", "max_tokens": 1}
    try:
        async with session.get(f"{base}/s/{PLAIN_SERVICE}/ready") as answer:
            if answer.status != _HTTP_OK:
                return False
        async with session.post(f"{base}/v1/completions", json=body) as answer:
            return answer.status == _HTTP_OK
    except aiohttp.ClientError:
        return False


def _endpoint_specs() -> list[tuple[str, str, resources.Role]]:
    specs = []
    for domain in DOMAINS:
        letter = domain[-1]
        for role in _ENGINE_ROLES:
            specs.append((f"{role.value}-{letter}1", domain, role))
        specs.append((f"till-{letter}1", domain, resources.Role.PLAIN))
    return specs


async def _start_endpoint(
    running: processes.Processes,
    name: str,
    domain: str,
    role: resources.Role,
) -> resources.Endpoint:
    if role is resources.Role.PLAIN:
        address = await running.start_standin(name, "endpoint", name)
        return resources.Endpoint(name, PLAIN_SERVICE, address, domain, role)
    address = await running.start_standin(
        name, "engine", name, "--role", role.value, "--model", MODEL
    )
    return resources.Endpoint(
        name, MODEL_SERVICE, address, domain, role, model=MODEL
    )


def _entry_address(instance: str, domain: str) -> EntryAddress:
    callers, operators, peers = _free_ports(3)
    return EntryAddress(
        instance,
        domain,
        f"127.0.0.1:{callers}",
        f"127.0.0.1:{operators}",
        f"127.0.0.1:{peers}",
    )


def _free_ports(count: int) -> list[int]:
    """Returns ports that are currently free.

    Peers connect to the address on the live list, so the ports of an instance
    must be known before it starts.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def _settings(
    entry: EntryAddress,
    log_url: str,
    live_list_url: str,
    weight_store_url: str,
    bootstrap_token_sha256: str,
) -> dict[str, object]:
    return {
        "instance": entry.instance,
        "region": REGION,
        "domain": entry.domain,
        "platform": {
            "log_url": log_url,
            "live_list_url": live_list_url,
            "weight_store_url": weight_store_url,
        },
        "callers": _listen(entry.callers),
        "operators": _listen(entry.operators)
        | {"bootstrap_token_sha256": bootstrap_token_sha256},
        "peers": _listen(entry.peers),
        "drain_ms": 8_000,
    }


def _listen(address: str) -> dict[str, object]:
    host, _, port = address.rpartition(":")
    return {"host": host, "port": int(port)}
