"""Processor time and message sizes of individual control operations.

``python -m benchmarks.parts`` prints one JSON line per operation.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import json
import time

import msgpack

from benchmarks import slopes
from jujubewharf import hashing
from jujubewharf.configuration import records
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.engines import client
from jujubewharf.platform import log

_RECORD_COUNTS = (500, 1_000, 2_000, 4_000)
_CANDIDATE_COUNTS = (6, 25, 100, 380)
_ROUNDS = 200
_US = 1e6


def _endpoint(number: int) -> resources.Endpoint:
    return resources.Endpoint(
        f"engine-{number}",
        f"service-{number % 4}",
        f"10.0.{number // 250}.{number % 250}:8000",
        f"domain-{number % 15}",
        resources.Role.DECODE,
        model="a-model",
        model_version="2026-01",
    )


def _account(number: int) -> resources.Account:
    return resources.Account(
        f"account-{number}", f"{number:064x}", services=("service-1",)
    )


def _payload(resource: resources.Resource) -> bytes:
    kind = resources.KIND_OF[type(resource)].value
    return records.encode(
        records.Change(
            operation_id=f"3f9c1e0a-{resource.name}",
            actor="an-operator",
            verb=records.Verb.PUT,
            kind=kind,
            name=resource.name,
            expected_generation=None,
            body=resource_codec.dump(resource),
            wall_ms=1.7e12,
        )
    )


def apply_us() -> slopes.Slope:
    """Fits the microseconds to apply records against their number."""
    payloads = [_payload(_endpoint(n)) for n in range(max(_RECORD_COUNTS))]
    values = []
    for count in _RECORD_COUNTS:
        state = states.State()
        began_s = time.process_time()
        for offset, payload in enumerate(payloads[:count]):
            state.apply(log.LogRecord(offset, payload))
        values.append((time.process_time() - began_s) * _US)
    return slopes.Slope.fit(_RECORD_COUNTS, values)


def rank_us() -> slopes.Slope:
    """Fits the microseconds of a rendezvous choice against the candidates."""
    values = []
    for count in _CANDIDATE_COUNTS:
        names = [f"entry-{number}" for number in range(count)]
        values.append(_time_us(lambda names=names: hashing.rank("key", names)))  # type: ignore[misc]
    return slopes.Slope.fit(_CANDIDATE_COUNTS, values)


def _time_us(call: Callable[[], object]) -> float:
    began_s = time.process_time()
    for _ in range(_ROUNDS):
        call()
    return (time.process_time() - began_s) * _US / _ROUNDS


def load_report_bytes() -> int:
    """Returns the size of a load report as JSON, without HTTP headers."""
    report = client.LoadReport(
        123_456.789, 20, 17, 12_345, 0, 36.0, False, "a-model", "2026-01"
    )
    return len(json.dumps(dataclasses.asdict(report)))


def main() -> None:
    """Measures all operations and prints the results."""
    parts: dict[str, object] = {
        "fold_us": dataclasses.asdict(apply_us()),
        "rank_us": dataclasses.asdict(rank_us()),
        "endpoint_record_bytes": len(_payload(_endpoint(1))),
        "account_record_bytes": len(_payload(_account(1))),
        "endpoint_state_bytes": len(
            msgpack.packb(resource_codec.dump(_endpoint(1)))
        ),
        "account_state_bytes": len(
            msgpack.packb(resource_codec.dump(_account(1)))
        ),
        "load_report_bytes": load_report_bytes(),
    }
    for name, value in parts.items():
        print(json.dumps({"part": name, "value": value}))


if __name__ == "__main__":
    main()
