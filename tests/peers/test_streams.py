"""TCP streams between instances."""

from __future__ import annotations

import pytest

from jujubewharf.peers import streams
from tests import loopback


@pytest.mark.parametrize(
    "address",
    [
        "",
        "x",
        ":",
        "127.0.0.1:",
        "127.0.0.1:x",
        "127.0.0.1:-1",
        "127.0.0.1:65536",
        f"127.0.0.1:{10**30}",
        "127.0.0.1:" + "9" * 5_000,
        "x" * 300 + ":80",
        "\ud800:80",
        "a\0b:80",
    ],
)
async def test_address_that_is_none_cant_be_dialled(address):
    """Addresses come from the store's groups and from other instances.

    One of another form failed the task that elects a leader, and ended its
    process.
    """
    transport = streams.TcpTransport(loopback.HOST, 0)
    with pytest.raises(OSError):
        await transport.dial(address)
