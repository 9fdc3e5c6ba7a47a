"""Accuracy of enforcing an account's rate limit by equal shares.

Requests of one account arrive at random times at random instances, as behind a
load balancer. Each instance enforces its share of the limit with the
production code, on a virtual clock. Run from the root of the repository:

    python -m benchmarks.limits_share
"""

from __future__ import annotations

import itertools

import numpy as np

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.experiments import virtual_time
from jujubewharf.requests import limits

_SERVICE = resources.Service("shop-api", resources.ServiceKind.PLAIN)
_SECONDS = 120
_MEMBER_COUNTS = (1, 9, 380)
_RATES_PER_S = (1.0, 30.0, 300.0)
_LOADS = (0.5, 0.8, 2.0)


async def _admitted_share(
    members: int, rate_per_s: float, load: float
) -> tuple[float, float]:
    """Returns the admitted share and the admitted rate over the limit."""
    rng = np.random.default_rng([members, int(rate_per_s), int(load * 10)])
    account = resources.Account("dealer", "", rate_per_s=rate_per_s)
    clock = clocks.Clock()
    instances = [
        limits.Limits(
            clock, {"dealer": account}.get, member_count=lambda: members
        )
        for _ in range(members)
    ]
    count = int(rate_per_s * load * _SECONDS)
    gaps_ms = rng.exponential(clocks.MS_PER_S / (rate_per_s * load), count)
    admitted = 0
    instance_indices = rng.integers(members, size=count)
    for gap_ms, index in zip(gaps_ms, instance_indices, strict=True):
        await clock.sleep_ms(float(gap_ms))
        try:
            async with instances[index].admitted(
                "dealer", _SERVICE, deadline_at_ms=float("inf")
            ):
                admitted += 1
        except errors.WharfError:
            pass
    took_s = clock.now_ms() / clocks.MS_PER_S
    return admitted / count, admitted / took_s / rate_per_s


def main() -> None:
    """Prints one row per combination."""
    print("instances  limit/s  asked/limit  admitted  admitted/limit")
    for members, rate, load in itertools.product(
        _MEMBER_COUNTS, _RATES_PER_S, _LOADS
    ):
        share, ratio = virtual_time.run(_admitted_share(members, rate, load))
        print(f"{members:9d} {rate:8g} {load:12g} {share:9.3f} {ratio:15.2f}")


if __name__ == "__main__":
    main()
