"""Cost of the load reports of endpoints.

``python -m benchmarks.endpoint_loads`` prints the size of a digest by the
number of plain endpoints, and the microseconds per report, digest and lookup.
"""

from __future__ import annotations

from collections.abc import Callable
import time

from jujubewharf.configuration import resources
from jujubewharf.endpoint_load import reports
from jujubewharf.endpoint_load import table
from jujubewharf.leadership import load_digests
from jujubewharf.peers import codec
from jujubewharf.peers import load_messages

_ROUNDS = 20_000


class _Clock:
    """A clock without an event loop."""

    def now_ms(self) -> float:
        return time.monotonic() * 1_000.0


def _us(operation: Callable[[], object]) -> float:
    began_s = time.perf_counter()
    for _ in range(_ROUNDS):
        operation()
    return (time.perf_counter() - began_s) / _ROUNDS * 1e6


def _digest(endpoints: int) -> load_messages.LoadDigest:
    return load_messages.LoadDigest.from_loads(
        load_messages.EndpointLoad(
            f"shop-api-{number:02d}@1764788123456", 6, 24, 6, 250, 480
        )
        for number in range(endpoints)
    )


def _encode(digest: load_messages.LoadDigest) -> bytes:
    return codec.encode(codec.Frame(codec.FrameKind.TELL, 0, digest))


def main() -> None:
    """Prints the costs."""
    for endpoints in (1, 4, 16):
        data = _encode(_digest(endpoints))
        body = codec.body_of(data)
        print(
            f"digest of {endpoints} endpoints: {len(data)} bytes,"
            f" decoded in {_us(lambda body=body: codec.decode(body)):.1f} us"
        )
    loads = table.LoadTable(_Clock())
    digests = load_digests.LoadDigests(loads)
    names = [f"s{number}" for number in range(4)]
    role = resources.Role.PLAIN
    digests.set_endpoints(
        resources.Endpoint(name, "shop-api", "", "a", role) for name in names
    )

    def record() -> None:
        report = reports.accepted(6.0, 24.0, 6.0, 250.0)
        assert report is not None
        loads.record("s1", report)

    def send() -> None:
        record()
        digest = digests.next_digest()
        assert digest is not None
        _encode(digest)

    print(f"report checked and recorded: {_us(record):.1f} us")
    print(f"slowdown looked up: {_us(lambda: loads.slowdown('s1')):.1f} us")
    for name in names:
        loads.record(name, reports.LoadReport(6, 24, 6, 2.5))
    print(f"digest made and encoded: {_us(send):.1f} us")


if __name__ == "__main__":
    main()
