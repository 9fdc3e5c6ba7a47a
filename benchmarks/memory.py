"""Resident memory of an entry process by size of its configuration.

Starts the daemon against stand-ins on loopback with plain endpoints or accounts
on the log, waits until it has applied them, and reads its resident memory.
``python -m benchmarks.memory``.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Sequence
import dataclasses
import json
import pathlib
import tempfile

import aiohttp
import psutil

from benchmarks import slopes
from jujubewharf import clock as clocks
from jujubewharf.configuration import records
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.demo import processes
from jujubewharf.platform import http_log

_BATCH = 200
_SETTLE_S = 8.0
_MB = 1_000_000


def _change(resource: resources.Resource) -> bytes:
    kind = resources.KIND_OF[type(resource)].value
    return records.encode(
        records.Change(
            operation_id=f"{kind}-{resource.name}",
            actor="benchmark",
            verb=records.Verb.PUT,
            kind=kind,
            name=resource.name,
            expected_generation=None,
            body=resource_codec.dump(resource),
        )
    )


def _resources(endpoints: int, accounts: int) -> list[resources.Resource]:
    declared: list[resources.Resource] = [
        resources.Service("app", resources.ServiceKind.PLAIN)
    ]
    declared += [
        resources.Endpoint(
            f"app-{number}",
            "app",
            f"127.0.0.1:{number % 50_000 + 1}",
            f"domain-{number % 15}",
            resources.Role.PLAIN,
        )
        for number in range(endpoints)
    ]
    declared += [
        resources.Account(f"account-{number}", f"{number:064x}")
        for number in range(accounts)
    ]
    return declared


async def _read_port(child: processes.Child) -> int:
    assert child.process.stdout is not None
    line = await child.process.stdout.readline()
    return int(json.loads(line)["port"])


async def measure(endpoints: int, accounts: int) -> float:
    """Returns the resident megabytes of an idle entry process."""
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        async with processes.Processes(directory) as children:
            urls = {}
            for standin in ("log", "live-list", "weight-store"):
                child = await children.start(standin, "standin", standin)
                key = f"{standin.replace('-', '_')}_url"
                urls[key] = f"http://127.0.0.1:{await _read_port(child)}"
            await _declare(urls["log_url"], _resources(endpoints, accounts))
            settings = directory / "entry.json"
            settings.write_text(
                json.dumps(
                    {
                        "instance": "entry-1",
                        "region": "region",
                        "domain": "domain-1",
                        "platform": urls,
                    }
                )
            )
            entry = await children.start(
                "entry", "entry", "--settings", str(settings)
            )
            await asyncio.sleep(_SETTLE_S)
            process = psutil.Process(entry.process.pid)
            return process.memory_info().rss / _MB


async def _declare(url: str, declared: Sequence[resources.Resource]) -> None:
    async with aiohttp.ClientSession() as session:
        log = http_log.HttpLog(url, session, clocks.Clock())
        for start in range(0, len(declared), _BATCH):
            batch = declared[start : start + _BATCH]
            await log.append(records.STREAM, [_change(r) for r in batch])


async def _measure_slope(kind: str, counts: Sequence[int]) -> None:
    values = []
    for count in counts:
        sizes = {"endpoints": 0, "accounts": 0} | {kind: count}
        values.append(await measure(**sizes))
        print(json.dumps({kind: count, "resident_mb": round(values[-1], 1)}))
    slope = slopes.Slope.fit(counts, values)
    print(json.dumps({"of": kind} | dataclasses.asdict(slope)))


def main() -> None:
    """Measures and fits memory by endpoints and by accounts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--counts", default="0,1000,3000,5900")
    counts = [int(c) for c in parser.parse_args().counts.split(",")]
    for kind in ("endpoints", "accounts"):
        asyncio.run(_measure_slope(kind, counts))


if __name__ == "__main__":
    main()
