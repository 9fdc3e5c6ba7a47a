"""Frees engine memory that no request needs.

Each engine is swept by one instance of its own failure domain, chosen by
rendezvous hashing. The sweep compares the attempts that the engine holds with
those that their owners need. An owner registers an attempt before any engine
knows of it and never reuses an attempt id, so its reply "not needed" is final.
An unresponsive owner is asked again, also through other instances. Its attempt
is freed only after a timeout and at least two checks. This fences an owner that
was only paused: it finds its attempt gone and looks up whether another instance
has taken the key over.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import dataclasses

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf import hashing
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.engines import client
from jujubewharf.membership import view as views
from jujubewharf.peers import key_messages
from jujubewharf.peers import network
from jujubewharf.requests import counters as request_counters
from jujubewharf.requests import releases
from jujubewharf.routing import fleet as fleets

SWEEP_EVERY_MS = 2_000.0
GRACE_MS = 1_000.0
OWNER_TIMEOUT_MS = 8_000.0
_ASK_TIMEOUT_MS = 1_000.0
_MAX_INTERMEDIARIES = 2

StateProvider = Callable[[], states.State]


@dataclasses.dataclass(slots=True)
class _Unconfirmed:
    """An attempt whose owner doesn't respond.

    Attributes:
        since_ms: Clock reading of the first check without a response, in ms.
        sightings: Number of checks without a response.
    """

    since_ms: float
    checks: int = 0


class Sweep(mode.Service):
    """Sweeps the engines that are assigned to this instance.

    Args:
        instance: Name of this instance.
        current: Returns the active configuration.
        fleet: Views of the engines.
        releaser: Tracks the running attempts of this instance.
        peers: Messaging between instances.
        membership: Instances that are present.
        clock: Source of time.
        counters: Counts freed attempts.
    """

    def __init__(
        self,
        instance: str,
        current: StateProvider,
        fleet: fleets.Fleet,
        releaser: releases.Releaser,
        peers: network.PeerNetwork,
        membership: views.MembershipView,
        clock: clocks.Clock,
        counters: request_counters.Counters,
    ) -> None:
        super().__init__()
        self._instance = instance
        self._current = current
        self._fleet = fleet
        self._releaser = releaser
        self._peers = peers
        self._membership = membership
        self._clock = clock
        self._counters = counters
        self._unconfirmed: dict[tuple[str, str], _Unconfirmed] = {}
        self._logger = structlog.get_logger()
        peers.handle(key_messages.NeededAttemptsRequest, self._on_ask_needed)

    @mode.Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(SWEEP_EVERY_MS)
            assigned = [e for e in self._engines() if self._is_assigned(e)]
            await asyncio.gather(*(self._sweep_engine(e) for e in assigned))

    def _engines(self) -> list[resources.Endpoint]:
        endpoints = [
            entry.resource
            for entry in self._current().of_kind(resources.Kind.ENDPOINT)
        ]
        return [
            endpoint
            for endpoint in endpoints
            if isinstance(endpoint, resources.Endpoint)
            and endpoint.role is not resources.Role.PLAIN
        ]

    def _is_assigned(self, endpoint: resources.Endpoint) -> bool:
        """Whether this instance sweeps the engine.

        An engine whose failure domain has no instance is assigned to any other.
        """
        present = self._membership.present()
        same_domain = [
            m.instance for m in present if m.domain == endpoint.domain
        ]
        candidates = same_domain or [m.instance for m in present]
        ranked = hashing.rank(f"sweep-{endpoint.name}", candidates)
        return bool(ranked) and ranked[0] == self._instance

    async def _sweep_engine(self, endpoint: resources.Endpoint) -> None:
        view = self._fleet.view(endpoint.name)
        if view is None:
            return
        try:
            held = await view.client.held()
        except client.EngineError:
            return
        by_owner: dict[str, list[str]] = collections.defaultdict(list)
        for item in held:
            if item.age_ms >= GRACE_MS:
                attempt = item.attempt
                by_owner[attempt.owner].append(attempt.attempt_id)
        self._remove_released(endpoint.name, by_owner)
        for owner, attempt_ids in sorted(by_owner.items()):
            await self._reconcile(endpoint, owner, tuple(attempt_ids))

    async def _reconcile(
        self,
        endpoint: resources.Endpoint,
        owner: str,
        attempt_ids: tuple[str, ...],
    ) -> None:
        digests = {releases.digest_of(item): item for item in attempt_ids}
        unneeded = await self._find_unneeded(owner, b"".join(digests))
        for digest, attempt_id in digests.items():
            if unneeded is None:
                if self._is_timed_out(endpoint.name, attempt_id):
                    self._free(endpoint, attempt_id, "owner_silent")
                continue
            self._unconfirmed.pop((endpoint.name, attempt_id), None)
            if digest in unneeded:
                self._free(endpoint, attempt_id, "not_needed")

    async def _find_unneeded(
        self, owner: str, digests: bytes
    ) -> frozenset[bytes] | None:
        """Returns attempts the owner doesn't need; ``None`` if unknown."""
        if owner == self._instance:
            found = self._releaser.find_unneeded(digests)
            return frozenset(releases.split_digests(found))
        message = key_messages.NeededAttemptsRequest(owner, digests)
        for peer in [owner, *self._intermediaries(owner)]:
            answer = await self._ask(peer, message)
            if answer is not None and answer.is_from_owner:
                return frozenset(releases.split_digests(answer.digests))
        return None

    def _intermediaries(self, owner: str) -> list[str]:
        """Returns instances that may reach an owner that this one can't."""
        others = [
            m.instance
            for m in self._membership.present()
            if m.instance not in (owner, self._instance)
        ]
        return hashing.rank(owner, others)[:_MAX_INTERMEDIARIES]

    async def _ask(
        self, peer: str, message: key_messages.NeededAttemptsRequest
    ) -> key_messages.UnneededAttempts | None:
        try:
            answer = await self._peers.ask(
                peer, message, timeout_ms=_ASK_TIMEOUT_MS
            )
        except network.PeerError:
            return None
        return (
            answer
            if isinstance(answer, key_messages.UnneededAttempts)
            else None
        )

    def _is_timed_out(self, engine: str, attempt_id: str) -> bool:
        now_ms = self._clock.now_ms()
        unconfirmed = self._unconfirmed.setdefault(
            (engine, attempt_id), _Unconfirmed(now_ms)
        )
        unconfirmed.checks += 1
        is_old = now_ms - unconfirmed.since_ms >= OWNER_TIMEOUT_MS
        return is_old and unconfirmed.checks > 1

    def _free(
        self, endpoint: resources.Endpoint, attempt_id: str, reason: str
    ) -> None:
        self._unconfirmed.pop((endpoint.name, attempt_id), None)
        self._counters.swept(reason)
        self._logger.info(
            "attempt_swept",
            attempt=attempt_id,
            engine=endpoint.name,
            reason=reason,
        )
        self._releaser.release(attempt_id, endpoint)

    def _remove_released(
        self, engine: str, by_owner: dict[str, list[str]]
    ) -> None:
        held = {i for ids in by_owner.values() for i in ids}
        gone = [
            key
            for key in self._unconfirmed
            if key[0] == engine and key[1] not in held
        ]
        for key in gone:
            del self._unconfirmed[key]

    async def _on_ask_needed(
        self, sender: str, message: key_messages.NeededAttemptsRequest
    ) -> key_messages.UnneededAttempts:
        if message.owner == self._instance:
            found = self._releaser.find_unneeded(message.digests)
            return key_messages.UnneededAttempts(found)
        # Forwards the question for an instance that can't reach the owner.
        answer = await self._ask(message.owner, message)
        if answer is None:
            return key_messages.UnneededAttempts(b"", is_from_owner=False)
        return answer
