"""Sends records of another writer through border, tables, followers and codec.

``PYTHONPATH=platform python -m tests.border_fuzz --records 100000 --seed 1``
draws more than the test suite does. A leader and two followers on virtual time
read the bytes of a store's tables through the adapter, beside sound entries.
After each batch all instances live and fail no request otherwise than by a
refusal; they hold the sound endpoints, and serve requests once a sound
configuration follows. So does an instance that starts then. No failure had to
be contained behind the border.
"""

from __future__ import annotations

import argparse
import base64
import json
import logging
import struct
import sys
from typing import Any
from unittest import mock

import structlog
from users_platform import records
from users_platform import store as wire

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import calls
from jujubewharf.platform import epochs
from jujubewharf.standins import store as stores
from jujubewharf.telemetry import containment
from tests import hostile_records
from tests.forwarding import deployments

_BATCH = 100
# One record in so many is a crash report.
_CRASH_SHARE = 10
_PAGE_ITEMS = 500
_POLL_MS = 20.0
# Long enough for the leader's read and its message to the followers.
_SETTLE_MS = 900.0
_DECODERS = {
    "configurations": records.decode_configuration,
    "endpoints": records.decode_endpoint,
}
_SOUND = {
    "service": hostile_records.MODEL,
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 1,
}
# Changes of the sound entry, by key.
_SOUND_ENTRIES = {
    b"s1": {"service": hostile_records.ROUTED},
    b"p1": {"stage": "prefill"},
    b"d1": {"stage": "decode"},
}
_CALLS = (
    ("/lookup/1", None),
    ("/verdicts/1", calls.ModelWork(5_000, 10_000, 5_000)),
)
_TIMEOUT_MS = 4_000.0


class WireTables:
    """Bytes of the store's tables, as they are answered on the wire.

    Implements the reads of ``users_platform.store.Store``.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._records: dict[str, list[tuple[bytes, bytes]]] = {}
        self._newest: dict[str, dict[bytes, int]] = {}
        self.epoch = epochs.StoreEpoch()

    def put(self, table: str, key: bytes, value: bytes) -> None:
        """Writes a record."""
        written = self._records.setdefault(table, [])
        self._newest.setdefault(table, {})[key] = len(written)
        written.append((key, value))

    async def read(
        self, call: str, params: dict[str, str], *, wait_ms: float = 0.0
    ) -> tuple[int, bytes]:
        """Answers a read; see ``users_platform.store.Store``."""
        written = self._records.get(params["topic"], [])
        if call == "newest":
            return 200, self._page(params)
        first = int(params["from"])
        until_ms = self._clock.now_ms() + wait_ms
        while len(written) <= first and self._clock.now_ms() < until_ms:
            await self._clock.sleep_ms(_POLL_MS)
        body = struct.pack(">QQ", len(written), 0)
        for key, value in written[first:]:
            record = bytes([len(key)]) + key + value
            body += struct.pack(">I", len(record)) + record
        return 200, body

    def _page(self, params: dict[str, str]) -> bytes:
        written = self._records.get(params["topic"], [])
        newest = self._newest.get(params["topic"], {})
        text_of = {key: key.decode(errors="replace") for key in newest}
        after = params.get("after")
        keys = sorted(newest, key=lambda key: (text_of[key], key))
        if after is not None:
            keys = [key for key in keys if text_of[key] > after]
        items = [
            {
                "key": text_of[key],
                "value": base64.b64encode(written[newest[key]][1]).decode(),
                "offset": newest[key],
            }
            for key in keys[:_PAGE_ITEMS]
        ]
        page = {
            "items": items,
            "hasMore": len(keys) > _PAGE_ITEMS,
            "end": len(written),
        }
        return json.dumps(page).encode()


class WireDeployment(deployments.Deployment):
    """Instances that read their tables through the platform's adapter."""

    def __init__(self, *behind: Any) -> None:
        super().__init__(*behind)
        self.wire = WireTables(self.clock)

    def _table(
        self, view: stores.StoreView, epoch: epochs.StoreEpoch, name: str
    ) -> Any:
        store: Any = self.wire
        return wire.StoreTable(store, name, _DECODERS[name])


class BorderFuzz:
    """One run.

    Args:
        seed: Determines all records.
    """

    def __init__(self, seed: int) -> None:
        self._hostile = hostile_records.HostileRecords(seed)
        self._seed = seed
        self._version = 1

    async def run(self, record_count: int) -> list[str]:
        """Writes records; returns what went wrong, nothing if all went well."""
        self.d = WireDeployment(
            deployments.plain_endpoint("s1"),
            deployments.prefill_engine("p1"),
            deployments.decode_engine("d1"),
        )
        self._declare()
        await self.d.start("e1", "e2", "e3", declare=False, is_led=True)
        await self.d.clock.sleep_ms(2_000.0)
        written = 0
        while written < record_count:
            written += self._write_batch(min(_BATCH, record_count - written))
            await self.d.clock.sleep_ms(_SETTLE_MS)
            wrong = await self._check(f"after {written} records")
            if wrong:
                return wrong
        self._declare()
        await self.d.start("e4", declare=False, is_led=True)
        await self.d.clock.sleep_ms(2_000.0)
        wrong = await self._check("after another start")
        await self.d.stop()
        return wrong

    def _declare(self) -> None:
        """Writes a sound configuration and the sound endpoint."""
        self._version += 1
        services: list[dict[str, Any]] = [{"name": hostile_records.ROUTED}]
        services += [
            {"name": name, "engine": hostile_records.ENGINE}
            for name in (hostile_records.MODEL, hostile_records.FOREIGN)
        ]
        configuration = {
            "version": self._version,
            "routes": [hostile_records.ROUTE, hostile_records.STREAM_ROUTE],
            "services": services,
            "limits": hostile_records.LIMITS,
        }
        self._put("configurations", b"config", configuration)
        for key, changes in _SOUND_ENTRIES.items():
            self._put("endpoints", key, _SOUND | changes)

    def _put(self, table: str, key: bytes, value: dict[str, Any]) -> None:
        self.d.wire.put(table, key, json.dumps(value).encode())

    def _write_batch(self, count: int) -> int:
        crash_count = (count - 1) // _CRASH_SHARE
        for _ in range(crash_count):
            self.d.crashes.put(*self._hostile.crash())
        for _ in range(count - 1 - crash_count):
            self.d.wire.put("endpoints", *self._hostile.endpoint())
        self._version += 1
        hostile = self._hostile.configuration(self._version)
        self.d.wire.put("configurations", b"config", hostile)
        return count

    async def _check(self, when: str) -> list[str]:
        """Returns what is wrong under the records that were written."""
        wrong: list[str] = []
        for name in self.d.instances:
            # Whatever the configuration in force says, requests get answers.
            for path, work in _CALLS:
                _, error = await self._ask(name, path, work)
                if error is not None:
                    wrong.append(f"{name} failed at {path}: {error!r}")
        # A later version than any that is in force.
        versions = [i.source.version or 0 for i in self.d.instances.values()]
        self._version = max(self._version, *versions)
        self._declare()
        await self.d.clock.sleep_ms(_SETTLE_MS)
        for name, instance in self.d.instances.items():
            if instance.crashed:
                wrong.append(f"{name} ended: {instance.crash_reason!r}")
                continue
            for key in _SOUND_ENTRIES:
                if not instance.registry.is_registered(key.decode()):
                    wrong.append(f"{name} has no {key.decode()}")
            for path, work in _CALLS:
                answer, error = await self._ask(name, path, work)
                if answer.status != 200:
                    failure = error or answer.error or "no answer"
                    wrong.append(f"{name} refused {path}: {failure!r}")
        return [f"seed {self._seed}, {when}: {line}" for line in wrong]

    async def _ask(
        self, name: str, path: str, work: calls.ModelWork | None
    ) -> tuple[deployments.Answer, Exception | None]:
        """Sends a request; returns the answer, or how the instance failed."""
        try:
            answer = await self.d.ask(
                path, instance=name, caller_timeout_ms=_TIMEOUT_MS, work=work
            )
        except Exception as error:
            return deployments.Answer(), error
        return answer, None


def run(seed: int, record_count: int) -> list[str]:
    """Runs a seed on virtual time; returns what went wrong."""
    contained: list[str] = []

    def report_failure(part: str, error: Exception, **details: object) -> None:
        contained.append(f"seed {seed}: contained in {part}: {error!r}")

    with mock.patch.object(containment, "report_failure", report_failure):
        wrong = virtual_time.run(BorderFuzz(seed).run(record_count))
    return wrong + contained


def main() -> int:
    """Runs one seed by hand."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--records", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    wrong = run(options.seed, options.records)
    print("\n".join(wrong) or f"{options.records} records: nothing went wrong")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
