"""Routing policies by name, for the experiment tool."""

from __future__ import annotations

import random

from jujubewharf import clock as clocks
from jujubewharf.routing import baselines
from jujubewharf.routing import default_policy
from jujubewharf.routing import oracle
from jujubewharf.routing import policy as policies

PRODUCT = "product"
NAMES = (
    PRODUCT,
    "random",
    "round_robin",
    "least_load",
    "prefill_then_look",
    "oracle",
)


def make(
    name: str,
    *,
    clock: clocks.Clock,
    rng: random.Random,
    truth: oracle.GroundTruth | None = None,
) -> policies.Policy:
    """Creates the policy of one instance.

    Args:
        name: One of ``NAMES``.
        clock: Time source.
        rng: Random number generator of this instance's policy.
        truth: Shared by all instances of a run; required by the oracle.

    Raises:
        ValueError: The name is unknown, or ``truth`` is missing for the oracle.
    """
    match name:
        case "product":
            return default_policy.DefaultPolicy(clock, rng)
        case "random":
            return baselines.RandomChoice(rng)
        case "round_robin":
            return baselines.RoundRobin(rng)
        case "least_load":
            return baselines.LeastLoad()
        case "prefill_then_look":
            return baselines.PrefillFirst()
        case "oracle":
            if truth is None:
                raise ValueError("the oracle policy requires truth")
            return oracle.Oracle(truth, clock)
        case _:
            raise ValueError(f"unknown policy {name!r}; one of {NAMES}")
