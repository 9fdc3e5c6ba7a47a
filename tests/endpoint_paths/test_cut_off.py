"""Instances that reach no endpoint serve their callers through peers."""

from __future__ import annotations

import pytest

from jujubewharf.standins import endpoint_cuts
from tests.endpoint_paths import cut_offs
from tests.forwarding import deployments

NAMES = ("e0", "e1", "e2", "e3", "e4", "e5")
CutKind = endpoint_cuts.CutKind


CUTS = (("e1",), ("e1", "e3"), ("e0", "e2", "e4"), NAMES[1:])


# Callers of an instance that reached no endpoint were refused, though peers
# reached them all.
@pytest.mark.parametrize("kind", list(CutKind))
def test_instances_without_endpoints_serve_as_the_others(kind):
    async def main(cut):
        async with cut_offs.deployed(*NAMES) as world:
            await cut_offs.ask(world, NAMES, for_ms=1_000.0)
            for name in cut:
                world.cuts.begin(name, kind)
            await cut_offs.ask(world, NAMES, for_ms=cut_offs.STABLE_MS)
            answers = await cut_offs.ask(world, NAMES, for_ms=3_000.0)
            others = [name for name in NAMES if name not in cut]
            assert cut_offs.tries(answers, others).share > 0.99
            assert cut_offs.tries(answers, cut).share > 0.99

    for cut in CUTS:
        deployments.run(main(cut))
