"""Measures traffic, log appends and latency of key records and claims.

``python -m jujubewharf.experiments.request_costs`` prints one JSON line per
measurement. It runs real entry cores on the bench. The peer bytes of requests
exclude those of an idle run of the same length.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import json
import logging
import tracemalloc

import numpy as np
import structlog

from jujubewharf.configuration import resources
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import virtual_time
from jujubewharf.peers import codec
from jujubewharf.peers import key_messages
from jujubewharf.requests import claim_records
from jujubewharf.requests import claim_shard
from jujubewharf.requests import keys
from jujubewharf.requests import model_request
from jujubewharf.standins import engine as engines

_DOMAINS = ("a", "b", "c")
_INSTANCES = 9
_REQUESTS = 90
_SPACING_MS = 100.0
_CLAIM_SECONDS = 4.0
_PROMPT = "answer_tokens=20 " + "word " * 200
_SERVICE = resources.Service(
    "verdict-llm", resources.ServiceKind.MODEL, model="judge"
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Load:
    """Properties of the requests of a run."""

    has_key: bool
    is_repeatable: bool


async def _deployment() -> benches.Bench:
    bench = benches.Bench()
    await bench.declare(_SERVICE)
    for number in range(6):
        role = resources.Role.PREFILL if number < 2 else resources.Role.DECODE
        endpoint = resources.Endpoint(
            f"engine-{number}",
            _SERVICE.name,
            f"127.0.0.1:{number}",
            _DOMAINS[number % len(_DOMAINS)],
            role,
        )
        spec = engines.EngineSpec(role=role.value, model="judge")
        bench.add_engine(endpoint, spec)
        await bench.declare(endpoint)
    for number in range(_INSTANCES):
        domain = _DOMAINS[number % len(_DOMAINS)]
        await bench.start_instance(f"e{number}", domain)
    await bench.clock.sleep_ms(5_000)
    return bench


def _peer_bytes(bench: benches.Bench) -> int:
    return sum(
        instance.core.peers.counts.bytes_out
        for instance in bench.instances.values()
    )


async def _run_requests(load: _Load | None) -> tuple[int, float, int]:
    """Returns peer bytes, mean time to first token in ms, and log appends.

    Without a load, the deployment stays idle for the same time.
    """
    bench = await _deployment()
    before = _peer_bytes(bench)
    tasks = []
    for number in range(_REQUESTS):
        if load is not None:
            tasks.append(
                asyncio.ensure_future(_send_request(bench, number, load))
            )
        await bench.clock.sleep_ms(_SPACING_MS)
    await bench.clock.sleep_ms(5_000)
    firsts = await asyncio.gather(*tasks)
    appends = sum(
        instance.core.claims.appends for instance in bench.instances.values()
    )
    used = _peer_bytes(bench) - before
    await bench.stop()
    return used, float(np.mean(firsts)) if firsts else 0.0, appends


async def _send_request(
    bench: benches.Bench, number: int, load: _Load
) -> float:
    name = f"e{number % _INSTANCES}"
    request_id = f"{name}~{number:032x}"
    started_ms = bench.clock.now_ms()
    request = model_request.ModelRequest(
        request_id=request_id,
        key=f"caller-key-{number}" if load.has_key else request_id,
        body_digest="body",
        account="renacer",
        service=_SERVICE,
        prompt=_PROMPT,
        max_tokens=100,
        arrived_ms=started_ms,
        deadline_ms=20_000,
        is_repeatable=load.is_repeatable,
    )
    first_ms = 0.0
    async for event in bench.instances[name].answer(request):
        if not first_ms:
            first_ms = bench.clock.now_ms() - started_ms
        if isinstance(event, model_request.Failed):
            raise RuntimeError(event.kind.value)
    return first_ms


def _print_requests() -> None:
    idle, _, _ = virtual_time.run(_run_requests(None))
    plain_ms = 0.0
    for label, load in (
        ("minted key", _Load(has_key=False, is_repeatable=False)),
        ("caller's key", _Load(has_key=True, is_repeatable=True)),
        (
            "caller's key, not repeatable",
            _Load(has_key=True, is_repeatable=False),
        ),
    ):
        used, first_ms, appends = virtual_time.run(_run_requests(load))
        plain_ms = plain_ms or first_ms
        _print(
            figure="request",
            load=label,
            peer_bytes_per_request=round((used - idle) / _REQUESTS),
            added_ms=round(first_ms - plain_ms, 2),
            appends_per_request=round(appends / _REQUESTS, 2),
        )


async def _run_claims(
    rate_per_s: float, *, without_shard_owners: bool
) -> dict[str, float]:
    bench = await _deployment()
    cores = [instance.core for instance in bench.instances.values()]
    if without_shard_owners:
        for core in cores:
            core.claims._owners = _sole_owner(core.settings.instance)  # type: ignore[method-assign,assignment]
    before = _peer_bytes(bench)
    durations_ms: list[float] = []

    async def claim(number: int) -> None:
        started_ms = bench.clock.now_ms()
        key = keys.key_of("renacer", f"key-{number}")
        core = cores[number % len(cores)]
        name = core.settings.instance
        await core.claims.claim(key, f"{name}~{number:032x}", b"12345678")
        durations_ms.append(bench.clock.now_ms() - started_ms)

    tasks = []
    count = int(rate_per_s * _CLAIM_SECONDS)
    for number in range(count):
        tasks.append(asyncio.ensure_future(claim(number)))
        await bench.clock.sleep_ms(1_000.0 / rate_per_s)
    await asyncio.gather(*tasks)
    appends = sum(core.claims.appends for core in cores)
    used = _peer_bytes(bench) - before
    await bench.stop()
    return {
        "claims_per_s": rate_per_s,
        "appends_per_s": round(appends / _CLAIM_SECONDS, 1),
        "mean_ms": round(float(np.mean(durations_ms)), 1),
        "p95_ms": round(float(np.percentile(durations_ms, 95)), 1),
        "peer_bytes_per_claim": round(used / count),
    }


def _sole_owner(instance: str) -> Callable[[int], list[str]]:
    return lambda shard: [instance]


def _print_claims() -> None:
    for rate_per_s in (5.0, 100.0, 1_900.0):
        figures = virtual_time.run(
            _run_claims(rate_per_s, without_shard_owners=False)
        )
        _print(figure="claim", way="shard owners", **figures)
    figures = virtual_time.run(_run_claims(100.0, without_shard_owners=True))
    _print(figure="claim", way="each instance for itself", **figures)


def _claim(number: int) -> claim_records.ClaimRecord:
    request_id = f"e{number % 9}~{number:032x}"
    key = keys.key_of("renacer", f"key-{number}")
    return claim_records.ClaimRecord(
        key, b"12345678", f"e{number % 9}", request_id, "", 0.0, True
    )


def _print_sizes() -> None:
    batch = claim_records.Batch(0.0, tuple(_claim(i) for i in range(12)))
    log_bytes = len(claim_records.encode(batch)) / 12
    tracemalloc.start()
    holders = claim_records.Holders()
    for number in range(20_000):
        holders.apply(_claim(number))
    held_bytes = tracemalloc.get_traced_memory()[0] / 20_000
    tracemalloc.stop()
    _print(
        figure="size",
        log_bytes_per_claim=round(log_bytes),
        memory_bytes_per_claim=round(held_bytes),
        shards=claim_shard.SHARDS,
    )
    key = keys.key_of("renacer", "key")
    request_id = f"e1~{1:032x}"
    register = key_messages.Register(
        key, b"12345678", "e1", request_id, "", 140_000.0
    )
    registered = key_messages.Registered(b"12345678", "e1", request_id)
    dispatched = key_messages.Dispatched(
        key, f"{request_id}.1", ("engine-1", "engine-2")
    )
    for message in (register, registered, dispatched):
        frame = codec.Frame(codec.FrameKind.ASK, 1, message)
        _print(
            figure="message",
            message=type(message).__name__,
            frame_bytes=len(codec.encode(frame)),
        )


def _print(**figures: object) -> None:
    print(json.dumps(figures), flush=True)


def main() -> None:
    """Runs all measurements and prints them."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    _print_sizes()
    _print_requests()
    _print_claims()


if __name__ == "__main__":
    main()
