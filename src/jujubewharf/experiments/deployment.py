"""Creates the deployment of an experiment file on a bench."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import itertools

from jujubewharf.configuration import resources
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import models
from jujubewharf.routing import policy as policies


async def build(
    deployment: models.Deployment,
    bench: benches.Bench,
    make_policy: Callable[[str], policies.Policy | None],
) -> None:
    """Declares all resources and starts all instances.

    Args:
        deployment: Deployment to create.
        bench: Bench with the delays of the deployment.
        make_policy: Creates the policy of an instance from its name.
    """
    await bench.declare(*deployment.services)
    ports = itertools.count(1)
    domains = itertools.cycle(deployment.domains)
    models_of = {s.name: s.model for s in deployment.services}
    for group in deployment.engines:
        for endpoint in _endpoints_of(group, ports, domains):
            spec = dataclasses.replace(
                group.spec,
                role=group.role.value,
                model=models_of[group.service],
            )
            bench.add_engine(endpoint, spec)
            await bench.declare(endpoint)
    for plain_group in deployment.endpoints:
        for number in range(plain_group.count):
            endpoint = resources.Endpoint(
                f"{plain_group.name}{number + 1}",
                plain_group.service,
                f"127.0.0.1:{next(ports)}",
                next(domains),
                resources.Role.PLAIN,
            )
            bench.endpoints.answer_ms[endpoint.name] = plain_group.answer_ms
            await bench.declare(endpoint)
    await _start_instances(deployment, bench, make_policy)


def _endpoints_of(
    group: models.EngineGroup, ports: Iterator[int], domains: Iterator[str]
) -> Iterator[resources.Endpoint]:
    for number in range(group.count):
        yield resources.Endpoint(
            f"{group.name}{number + 1}",
            group.service,
            f"127.0.0.1:{next(ports)}",
            next(domains),
            group.role,
            slots=group.spec.slots,
            link_bytes_per_s=group.spec.link_bytes_per_s,
            capabilities=group.spec.capabilities,
        )


async def _start_instances(
    deployment: models.Deployment,
    bench: benches.Bench,
    make_policy: Callable[[str], policies.Policy | None],
) -> None:
    for domain in deployment.domains:
        for number in range(deployment.instances_per_domain):
            name = f"entry-{domain}-{number + 1}"
            await bench.start_instance(
                name,
                domain,
                make_policy=lambda name=name: make_policy(name),  # type: ignore[misc]
                settings=dict(deployment.instance_settings),
            )
