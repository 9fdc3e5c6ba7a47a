"""Mutual TLS between instances on loopback: refusals and key rotation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses

import pytest
import trustme

from jujubewharf import clock as clocks
from jujubewharf.peers import mesh as meshes
from jujubewharf.peers import messages
from jujubewharf.peers import network
from jujubewharf.peers import peer
from jujubewharf.peers import tls_keys
from jujubewharf.settings import models


@messages.message(9_201)
@dataclasses.dataclass(frozen=True, slots=True)
class Ping(messages.Message):
    pass


class TlsKeyFiles:
    """The TLS files of one instance."""

    def __init__(self, folder, name: str, authority: trustme.CA) -> None:
        self._folder = folder
        self.issue(name, authority)

    def issue(
        self, name: str, authority: trustme.CA, *trusted: trustme.CA
    ) -> None:
        issued = authority.issue_cert(common_name=name)
        issued.cert_chain_pems[0].write_to_path(self._folder / "cert.pem")
        issued.private_key_pem.write_to_path(self._folder / "key.pem")
        pems = [ca.cert_pem.bytes() for ca in trusted or (authority,)]
        (self._folder / "ca.pem").write_bytes(b"".join(pems))

    def settings(self) -> models.PeerSettings:
        return models.PeerSettings(
            tls_certificate_file=self._folder / "cert.pem",
            tls_key_file=self._folder / "key.pem",
            tls_authority_file=self._folder / "ca.pem",
            tls_poll_ms=50,
        )


class Node:
    """A mesh of one instance over TCP."""

    def __init__(self, name: str, settings: models.PeerSettings) -> None:
        clock = clocks.Clock()
        self.transport = tls_keys.make_transport(settings)
        self.mesh = meshes.PeerMesh(
            name, "a", clock, self.transport, timing=peer.Timing(100, 350)
        )
        self.mesh.handle(Ping, self._answer)
        files = tls_keys.configured_files(settings)
        self.reloader = None
        if files is not None:
            self.reloader = tls_keys.KeyReloader(
                files, self.transport, self.mesh, clock, poll_ms=50
            )

    async def _answer(self, peer: str, message: Ping) -> Ping:
        return message

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        for service in (self.mesh, self.reloader):
            if service is not None:
                await service.start()
                stack.push_async_callback(service.stop)

    async def ping(self, other: Node) -> None:
        name = other.mesh.instance
        self.mesh.set_addresses({name: other.mesh.address})
        self.mesh.clear_failure(name)
        await self.mesh.ask(name, Ping(), timeout_ms=5_000)


@pytest.fixture
def make_keys(tmp_path):
    def make(
        name: str, authority: trustme.CA, *, folder: str = ""
    ) -> TlsKeyFiles:
        path = tmp_path / (folder or name)
        path.mkdir()
        return TlsKeyFiles(path, name, authority)

    return make


async def _refused(node: Node, other: Node) -> None:
    with pytest.raises(network.PeerError) as caught:
        await node.ping(other)
    assert caught.value.fault is network.PeerFault.UNREACHABLE


async def test_instances_of_one_authority_reach_each_other(make_keys):
    authority = trustme.CA()
    async with contextlib.AsyncExitStack() as stack:
        e1 = Node("e1", make_keys("e1", authority).settings())
        e2 = Node("e2", make_keys("e2", authority).settings())
        await e1.start(stack)
        await e2.start(stack)
        await e1.ping(e2)
        await e2.ping(e1)


async def test_unauthenticated_peers_are_refused(make_keys):
    """Unauthenticated peers could otherwise take over keys and roles.

    Covers plain TCP, a foreign authority and a name not in the certificate.
    """
    authority = trustme.CA()
    async with contextlib.AsyncExitStack() as stack:
        e1 = Node("e1", make_keys("e1", authority).settings())
        plain = Node("e2", models.PeerSettings())
        foreign = Node("e2", make_keys("e2", trustme.CA()).settings())
        impostor_settings = make_keys(
            "e3", authority, folder="posing"
        ).settings()
        impostor = Node("e2", impostor_settings)
        for node in (e1, plain, foreign, impostor):
            await node.start(stack)
        await _refused(plain, e1)
        await _refused(foreign, e1)
        await _until(lambda: e1.transport.refused == 2)
        await _refused(impostor, e1)
        assert e1.mesh.counts.refusals["stranger"] == 1
        await _refused(e1, impostor)
        assert e1.mesh.link_count() == 0


async def test_keys_are_reloaded_without_a_restart(make_keys):
    """Rotating the authority keeps links working and shuts out old tls_keys."""
    old, new = trustme.CA(), trustme.CA()
    async with contextlib.AsyncExitStack() as stack:
        first, second = make_keys("e1", old), make_keys("e2", old)
        e1 = Node("e1", first.settings())
        e2 = Node("e2", second.settings())
        late = Node("e3", make_keys("e3", old).settings())
        for node in (e1, e2, late):
            await node.start(stack)
        await e1.ping(e2)
        for step in ((old, old, new), (new, old, new), (new, new)):
            first.issue("e1", *step)
            second.issue("e2", *step)
            await _until_reloaded(e1, e2)
            await e1.ping(e2)
            await e2.ping(e1)
        await _refused(late, e1)


async def test_invalid_keys_do_not_replace_valid_ones(make_keys, tmp_path):
    authority = trustme.CA()
    async with contextlib.AsyncExitStack() as stack:
        e1 = Node("e1", make_keys("e1", authority).settings())
        e2 = Node("e2", make_keys("e2", authority).settings())
        await e1.start(stack)
        await e2.start(stack)
        (tmp_path / "e1" / "cert.pem").write_text("half")
        assert e1.reloader is not None
        await _until(lambda: e1.reloader.failures > 0)
        await e2.ping(e1)
        assert e1.reloader.reloads == 0


@pytest.mark.parametrize("host", ["0.0.0.0", "::", "router.example"])
def test_undialable_hosts_are_rejected(host):
    with pytest.raises(ValueError, match="host"):
        models.PeerSettings(host=host)


async def _until_reloaded(*nodes: Node) -> None:
    before = {node: node.reloader.reloads for node in nodes}
    await _until(lambda: all(n.reloader.reloads > before[n] for n in nodes))


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
