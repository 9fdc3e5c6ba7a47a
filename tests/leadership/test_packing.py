"""Tests of the compressed configurations that the leader sends."""

from __future__ import annotations

import dataclasses
import zlib

import pytest

from jujubewharf import bearer
from jujubewharf.forwarding import accounts
from jujubewharf.leadership import packing
from jujubewharf.peers import codec
from jujubewharf.peers import leader_messages
from tests.forwarding import deployments

LARGE = dataclasses.replace(
    deployments.configuration(
        7,
        *(
            dataclasses.replace(deployments.SALE, path_prefix=f"/sale-{n}/")
            for n in range(60)
        ),
    ),
    accounts=tuple(
        accounts.Account(
            f"account-{n}",
            (bearer.token_digest(f"key-{n}"),),
            quota=accounts.Quota(5.0, 7.0, accounts.QuotaUnit.TOKENS, 200.0),
        )
        for n in range(16)
    ),
)
NEWS = leader_messages.ConfigurationUpdate("config", 3, 4, LARGE)


def test_configuration_round_trip_is_compressed():
    packed = packing.pack(NEWS)
    whole = codec.encode(codec.Frame(codec.FrameKind.TELL, 0, NEWS))
    assert packing.unpack(packed) == NEWS
    assert len(packed) < len(whole) / 3


@pytest.mark.parametrize(
    "packed",
    [
        b"",
        b"no zlib",
        zlib.compress(b"no message"),
        zlib.compress(b"0" * (codec.MAX_FRAME_BYTES + 1)),
        packing.pack(NEWS)[:-20],
    ],
)
def test_invalid_input_unpacks_to_none(packed):
    assert packing.unpack(packed) is None


def test_only_leader_reads_large_configuration():
    """A large configuration is in force everywhere, read by the leader only.

    The store may refuse some of hundreds of readers, which would then still
    accept withdrawn API keys.
    """

    async def main():
        names = ("e1", "e2", "e3", "e4")
        async with deployments.deployed(
            deployments.plain_endpoint("s1"), names=names, is_led=True
        ) as world:
            await world.clock.sleep_ms(2_000.0)
            before = world.configurations.reads
            world.configurations.put("config", LARGE)
            await world.clock.sleep_ms(900.0)
            assert {
                i.source.current.version for i in world.instances.values()
            } == {7}
            assert world.configurations.reads - before <= 3

    deployments.run(main())
