"""What the leader sends to its followers."""

from __future__ import annotations

import dataclasses
import types

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.forwarding import registration
from jujubewharf.leadership import followers as all_followers
from jujubewharf.platform import epochs
from jujubewharf.platform import tables
from tests.forwarding import deployments


class _Link:
    """A follower's link that keeps what is sent."""

    peer = "e2"

    def __init__(self) -> None:
        self.sent: list[object] = []

    def tell_encoded(self, data: bytes) -> None:
        self.sent.append(data)

    def tell(self, message: object) -> None:
        self.sent.append(message)


def _record(endpoint: resources.Endpoint, *, epoch: int, offset: int):
    position = epochs.combine(epoch, offset)
    return tables.TableRecord(endpoint.name, position, endpoint)


def test_endpoint_that_registered_again_after_a_restore_is_sent():
    """A follower may have read the restored table without the endpoint.

    If the store refuses it since, it would drop a live endpoint.
    """
    clock = clocks.Clock(wall_origin_ms=0.0)
    followers = all_followers.Followers(
        types.SimpleNamespace(instance="e1"),
        lambda *_: None,
        types.SimpleNamespace(),
        epochs.StoreEpoch(),
        clock,
        types.SimpleNamespace(),
        count_within_ms=10_000.0,
    )
    link = _Link()
    endpoint = deployments.plain_endpoint("s1").endpoint

    def publish(epoch: int, offset: int) -> int:
        link.sent.clear()
        record = _record(endpoint, epoch=epoch, offset=offset)
        followers.publish_endpoints(
            [record], record.offset + 1, is_full_read=False
        )
        return len(link.sent)

    async def main():
        followers._links.add(link)
        followers._endpoints._updated_links.add(link)
        assert publish(0, 5) == 1
        assert publish(0, 9) == 0
        assert publish(1, 7) == 1
        assert publish(1, 8) == 0

    deployments.run(main())


def test_endpoint_that_cant_be_encoded_costs_this_endpoint():
    """A number beyond 64 bits ended the leader as it told its followers.

    The bounds of records let none in; this is behind them. Followers are told
    that the record is unreadable, also those that follow later.
    """

    async def main():
        names = ("e1", "e2", "e3")
        async with deployments.deployed(
            deployments.plain_endpoint("s1"), names=names, is_led=True
        ) as world:
            await world.clock.sleep_ms(2_000.0)
            sound = deployments.plain_endpoint("s2").endpoint
            huge = registration.Registration.from_endpoint(
                dataclasses.replace(sound, name="huge")
            )
            huge = dataclasses.replace(huge, started_ms=2**70)
            world.endpoints.put("huge", huge)
            world.endpoints.put("s2", sound)
            await world.clock.sleep_ms(2_000.0)
            await world.restart("e3")
            await world.clock.sleep_ms(3_000.0)
            for name, instance in world.instances.items():
                assert not instance.crashed
                assert instance.registry.is_registered("s2"), name
                answer = await world.ask("/lookup/1", instance=name)
                assert answer.status == 200
            assert world.leader is not None

    deployments.run(main())


def test_configuration_that_cant_be_encoded_is_read_from_the_store():
    """It ended the leader, and each next one, as they sent it."""

    async def main():
        names = ("e1", "e2", "e3")
        async with deployments.deployed(
            deployments.plain_endpoint("s1"), names=names, is_led=True
        ) as world:
            await world.clock.sleep_ms(2_000.0)
            sale = dataclasses.replace(deployments.SALE, priority=2**70)
            changed = deployments.configuration(2, deployments.LOOKUP, sale)
            world.configurations.put("config", changed)
            await world.clock.sleep_ms(4_000.0)
            assert {i.source.version for i in world.instances.values()} == {2}
            assert not any(i.crashed for i in world.instances.values())

    deployments.run(main())
