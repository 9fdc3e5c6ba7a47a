"""Measures the memory of an instance by the number of bodies it is sent.

Run it by hand: ``python -m tests.real_processes.body_memory --bodies 8 16``.
"""

from __future__ import annotations

import argparse
import asyncio
import collections

from tests.real_processes import deployment as deployments
from tests.real_processes import machine_memory
from tests.real_processes import uploaders as all_uploaders
from tests.real_processes import uploads

_SIZE = deployments.Size(prefill=0, decode=(0, 0), plain=(2, 1), instances=1)
_UNBOUNDED_MB = 1e6
_REST_S = 3.0
_LOAD_S = 6.0


async def measure(
    bodies: int, kinds: tuple[str, ...], memory_mb: float | None
) -> None:
    """Prints the memory at rest and at the peak, and what was served."""
    async with deployments.deployed(_SIZE, memory_mb=memory_mb) as deployment:
        await uploads.allow_large_bodies(deployment)
        watch = machine_memory.Watch(deployment, _UNBOUNDED_MB)
        watching = asyncio.ensure_future(watch.run())
        await asyncio.sleep(_REST_S)
        rest_mb = max(watch.peaks_mb.values())
        playing = uploads.Play(deployment, seed=1)
        playing.begin(all_uploaders.Uploader, bodies, kinds)
        await asyncio.sleep(_LOAD_S)
        await playing.end()
        watching.cancel()
        peak_mb = max(watch.peaks_mb.values())
        ends = collections.Counter(
            e.end or str(e.status) for e in playing.large
        )
        print(
            f"{bodies:3} at a time, {'+'.join(kinds)}: {rest_mb:.1f} MB at"
            f" rest, {peak_mb:.1f} MB at the peak,"
            f" {(peak_mb - rest_mb) / bodies if bodies else 0:.2f} MB each;"
            f" {dict(ends)}",
            flush=True,
        )


async def main() -> None:
    """Measures each number of bodies in turn."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bodies", type=int, nargs="+", default=[1, 8, 16])
    parser.add_argument(
        "--kinds", nargs="+", choices=all_uploaders.KINDS, default=["whole"]
    )
    parser.add_argument("--memory_mb", type=float, default=None)
    options = parser.parse_args()
    for bodies in options.bodies:
        await measure(bodies, tuple(options.kinds), options.memory_mb)


if __name__ == "__main__":
    asyncio.run(main())
