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


# With its leader out of reach of endpoints, a fleet placed no model requests.
@pytest.mark.parametrize("kind", list(CutKind))
def test_leader_without_endpoints_places_for_all(kind):
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            leader = world.leader
            world.cuts.begin(leader, kind)
            await cut_offs.ask(world, NAMES, for_ms=cut_offs.STABLE_MS)
            answers = await cut_offs.ask(world, NAMES, for_ms=2_000.0)
            assert cut_offs.tries(answers, NAMES).share == 1.0
            assert world.leader == leader

    deployments.run(main())


# Its only way left was another domain's peer, which wasn't asked.
def test_whole_domain_without_endpoints_is_served_by_another():
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            domain = [n for n in NAMES if world.instances[n].domain == "b"]
            for name in domain:
                world.cuts.begin(name, CutKind.RESET)
            await cut_offs.ask(world, domain, for_ms=cut_offs.STABLE_MS)
            answers = await cut_offs.ask(world, domain, for_ms=2_000.0)
            assert cut_offs.tries(answers, domain).share == 1.0

    deployments.run(main())


# An instance out of reach of one service refused it, though peers reached it.
@pytest.mark.parametrize("service", list(deployments.SERVICES))
def test_instance_without_one_service_serves_all(service):
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            behind = world.backends.by_name.values()
            names = [b.name for b in behind if b.endpoint.service == service]
            world.cuts.begin("e1", CutKind.SILENT, endpoints=names)
            await cut_offs.ask(world, ["e1"], for_ms=cut_offs.STABLE_MS)
            answers = await cut_offs.ask(world, ["e1"], for_ms=2_000.0)
            assert cut_offs.tries(answers, ["e1"]).share == 1.0

    deployments.run(main())
