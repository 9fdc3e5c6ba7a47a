"""What the leader sends to its followers."""

from __future__ import annotations

import types

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
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
        followers._updated_links.add(link)
        assert publish(0, 5) == 1
        assert publish(0, 9) == 0
        assert publish(1, 7) == 1
        assert publish(1, 8) == 0

    deployments.run(main())
