"""Builds that know no replicas, beside the current one."""

from __future__ import annotations

from jujubewharf.leadership import leader_link
from jujubewharf.peers import origin_messages
from tests.forwarding import deployments
from tests.leadership import stream_versions as versions

NAMES = ("e1", "e2", "e3", "e4")


class _OlderLink(leader_link.LeaderLink):
    """Tells and asks its leader, whatever build that has."""

    chooses_replicas = False


class _World(deployments.Deployment):
    """Instances of which some have a build without replicas.

    Attributes:
        older: Their names.
    """

    older: tuple[str, ...] = ()

    async def start(self, *names: str, **more) -> None:
        await super().start(*names, **more)
        for name in names:
            if name in self.older:
                _make_older(self.instances[name])


def _make_older(instance) -> None:
    hello = instance.fleet.hello
    kept = set(hello.capabilities) - {origin_messages.REPLICA_CAPABILITY}
    # The parts of an instance share its hello.
    object.__setattr__(hello, "capabilities", tuple(sorted(kept)))
    instance.fleet.link.__class__ = _OlderLink
    instance._replicas._tell_followers = lambda: None
    # Links that were opened before have the newer hello.
    for link in list(instance.fleet.followers.follower_links):
        link.close()
    if instance.fleet.link.link is not None:
        instance.fleet.link.link.close()


async def _deployed(*older: str):
    world = _World(
        versions.prefill_engine("v1"),
        *versions.decode_engines("v1"),
        *versions.decode_engines("v2"),
    )
    world.older = older
    await world.start_in(versions.DOMAINS, *NAMES)
    await world.clock.sleep_ms(8_000.0)
    return world


async def _goes_on(world, *, began: str, resumes: str, is_killed: bool) -> bool:
    await world.ask(
        "/verdicts/1", instance=began, request_id="first", leave_after_ms=500.0
    )
    if is_killed:
        await versions.Callers(world).kill(began)
    answer = await world.ask(
        "/verdicts/1", instance=resumes, last_event=3, began_by="first"
    )
    return answer.numbers == list(range(4, 21))


# A leader of an older build chooses no replicas, so nobody else is told.
def test_older_leader_is_told_and_asked():
    async def main():
        world = await _deployed(*NAMES)
        for name in NAMES:
            if name != world.leader:
                # Newer but for its leader.
                link = world.instances[name].fleet.link
                link.__class__ = leader_link.LeaderLink
        began, resumes = [n for n in NAMES if n != world.leader][:2]
        assert await _goes_on(
            world, began=began, resumes=resumes, is_killed=True
        )
        await world.stop()

    deployments.run(main())


# Streams of an older instance were known to the leader only.
def test_newer_leader_has_replicas_keep_streams_of_older_followers():
    async def main():
        world = await _deployed("e2")
        assert world.leader != "e2"
        resumes = next(n for n in NAMES if n not in ("e2", world.leader))
        assert await _goes_on(
            world, began="e2", resumes=resumes, is_killed=True
        )
        await world.stop()

    deployments.run(main())


def test_newer_leader_asks_replicas_for_older_followers():
    async def main():
        world = await _deployed("e2")
        began = next(n for n in NAMES if n not in ("e2", world.leader))
        assert await _goes_on(world, began=began, resumes="e2", is_killed=True)
        await world.stop()

    deployments.run(main())
