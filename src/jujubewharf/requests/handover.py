"""Hands finished answers over to other instances during a shutdown."""

from __future__ import annotations

import asyncio

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.peers import key_messages
from jujubewharf.peers import network
from jujubewharf.requests import answer_cache
from jujubewharf.requests import keys
from jujubewharf.requests import model_request

_HANDOVER_TIMEOUT_MS = 1_000.0
_MAX_CONCURRENT = 8


class Handover:
    """Sends answers during a shutdown, and accepts them from other instances.

    Without a handover, a retry after an orderly shutdown would run again, or
    report an unknown outcome although the answer exists.

    Args:
        instance: Name of this instance.
        cache: Ended answers of this instance.
        homes: Key records and their home instances.
        peers: Messaging between instances.
        clock: Source of time and timeouts.
    """

    def __init__(
        self,
        instance: str,
        cache: answer_cache.AnswerCache,
        homes: keys.KeyHomes,
        peers: network.PeerNetwork,
        clock: clocks.Clock,
    ) -> None:
        self._instance = instance
        self._cache = cache
        self._homes = homes
        self._peers = peers
        self._clock = clock
        peers.handle(key_messages.ResponseHandover, self._on_hand_over)

    async def hand_over_all(self, timeout_ms: float) -> int:
        """Hands over all finished answers that callers may ask for again.

        Args:
            timeout_ms: Time limit of the whole handover, in ms.

        Returns:
            Number of answers that other instances accepted in time.
        """
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT)
        accepted: list[bytes] = []

        async def hand_over(
            key: bytes, message: key_messages.ResponseHandover
        ) -> None:
            async with semaphore:
                if await self._hand_over(key, message):
                    accepted.append(key)

        tasks = [
            asyncio.create_task(hand_over(key, message))
            for key, cached in self._cache.items()
            if (message := _handover_message(cached)) is not None
        ]
        if tasks:
            seconds = timeout_ms / clocks.MS_PER_S
            _, pending = await asyncio.wait(tasks, timeout=seconds)
            for task in pending:
                task.cancel()
        return len(accepted)

    async def _hand_over(
        self, key: bytes, message: key_messages.ResponseHandover
    ) -> bool:
        for home in self._homes.homes(key):
            if home == self._instance:
                continue
            try:
                await self._peers.ask(
                    home, message, timeout_ms=_HANDOVER_TIMEOUT_MS
                )
            except network.PeerError:
                continue
            return True
        return False

    async def _on_hand_over(
        self, sender: str, message: key_messages.ResponseHandover
    ) -> key_messages.HandoverReply:
        key = keys.key_of(message.account, message.callers_key)
        request = _rebuild_request(message, self._clock.now_ms())
        end = model_request.Finished(
            message.count, message.digest, message.attempt_id
        )
        self._cache.add_packed(key, request, end, message.packed)
        record = keys.KeyRecord(
            key,
            keys.body_of(message.body_digest),
            self._instance,
            message.request_id,
        )
        try:
            # The run id is unchanged, so the homes treat this as an update.
            await self._homes.register(
                record, replaces="", keep_ms=answer_cache.CLAIMED_RETENTION_MS
            )
        except keys.HomesUnreachableError:
            pass
        return key_messages.HandoverReply()


def _handover_message(
    cached: answer_cache.CachedAnswer,
) -> key_messages.ResponseHandover | None:
    """Builds the message, or ``None`` if the answer isn't handed over.

    Only complete answers to requests with a caller's key are handed over.
    """
    request, end = cached.request, cached.end
    if not request.has_callers_key:
        return None
    match end:
        case model_request.Finished(count, digest, attempt_id):
            return key_messages.ResponseHandover(
                account=request.account,
                callers_key=request.key,
                body_digest=request.body_digest,
                request_id=request.request_id,
                is_repeatable=request.is_repeatable,
                packed=cached.packed,
                count=count,
                digest=digest,
                attempt_id=attempt_id,
            )
    return None


def _rebuild_request(
    message: key_messages.ResponseHandover, now_ms: float
) -> model_request.ModelRequest:
    """Rebuilds the parts of the request that a cached answer needs."""
    return model_request.ModelRequest(
        request_id=message.request_id,
        key=message.callers_key,
        body_digest=message.body_digest,
        account=message.account,
        service=resources.Service("", resources.ServiceKind.MODEL),
        prompt="",
        max_tokens=message.count,
        arrived_ms=now_ms,
        deadline_ms=answer_cache.RETENTION_MS,
        is_repeatable=message.is_repeatable,
    )
