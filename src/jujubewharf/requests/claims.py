"""Claims: the right to run a request that is not repeatable.

Claims are requested from the owner of the key's shard, which batches them and
appends them to the log. The log's order decides who holds a key. Two owners of
one shard in a split view therefore only cost an extra append.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import uuid

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf import hashing
from jujubewharf.membership import view as views
from jujubewharf.peers import key_messages
from jujubewharf.peers import network
from jujubewharf.platform import log
from jujubewharf.requests import claim_coverage
from jujubewharf.requests import claim_records
from jujubewharf.requests import claim_shard
from jujubewharf.requests import retries

_CLAIM_TIMEOUT_MS = 1_500.0
_HOLDER_TIMEOUT_MS = 500.0
_ABANDONED_TIMEOUT_MS = 1_000.0
_DID_NOT_RUN_DETAIL = (
    "This sending did not run; an earlier one of its key may have."
)
_FIRST_REAPPEND_DELAY_MS = 1_000.0
_MAX_TRIES = 3
_MAX_ABANDONED = 20_000
_UUID7_MS_SHIFT = 80
_DEFAULT_RETENTION = claim_shard.Retention()


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The run that holds a key.

    Attributes:
        is_won: Whether the requesting run holds the key.
        owner: Instance of the run that holds the key.
        request_id: Id of the run that holds the key.
        body: Digest of that run's request body.
    """

    is_won: bool
    owner: str
    request_id: str
    body: bytes


def created_wall_ms(key: str) -> float | None:
    """Returns the creation time of a UUID version 7 key (RFC 9562), in ms."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return float(parsed.int >> _UUID7_MS_SHIFT)


class Claims(mode.Service):
    """Claims keys for this instance, and for others as owner of shards.

    Args:
        instance: Name of this instance.
        peers: Messaging between instances.
        membership: Instances that are present.
        platform_log: Log of the platform.
        clock: Source of time and timeouts.
        retention: Retention periods of keys and claims.
    """

    def __init__(
        self,
        instance: str,
        peers: network.PeerNetwork,
        membership: views.MembershipView,
        platform_log: log.Log,
        clock: clocks.Clock,
        *,
        retention: claim_shard.Retention = _DEFAULT_RETENTION,
    ) -> None:
        super().__init__()
        self._instance = instance
        self._peers = peers
        self._membership = membership
        self._log = platform_log
        self._clock = clock
        self._retention = retention
        self._shards: dict[int, claim_shard.ClaimShard] = {}
        self._abandoned: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._restored = asyncio.Event()
        self._logger = structlog.get_logger()
        peers.handle(key_messages.ClaimRequest, self._on_claim_wanted)
        peers.handle(key_messages.HolderRequest, self._on_holder_wanted)
        peers.handle(key_messages.AbandonedRequest, self._on_ask_abandoned)

    @property
    def appends(self) -> int:
        """Number of log appends that this instance made for claims."""
        return sum(shard.appends for shard in self._shards.values())

    def check_age(self, callers_key: str) -> float | None:
        """Refuses a key that is older than the retention period of claims.

        The claim of such a key may have been removed, and its request would run
        a second time.

        Args:
            callers_key: Idempotency key as the caller sent it.

        Returns:
            Wall-clock creation time of the key in ms, or ``None`` if the key
            has none.

        Raises:
            WharfError: ``KEY_EXPIRED``, or ``BAD_REQUEST`` for a creation time
                in the future, because such a key would not expire in time.
        """
        created_ms = created_wall_ms(callers_key)
        if created_ms is None:
            return None
        age_ms = self._clock.wall_ms() - created_ms
        if age_ms > self._retention.dated_ms / 2:
            raise errors.WharfError(errors.ErrorKind.KEY_EXPIRED)
        if age_ms < -claim_coverage.MAX_KEY_AHEAD_MS:
            detail = "The key's time lies in the future."
            raise errors.WharfError(errors.ErrorKind.BAD_REQUEST, detail)
        return created_ms

    async def claim(
        self,
        key: bytes,
        request_id: str,
        body: bytes = b"",
        *,
        created_ms: float | None = None,
    ) -> Claim:
        """Claims a key for a run before it is dispatched.

        A run that doesn't win must not be dispatched. A run that wins and ends
        before its dispatch calls ``abandon``.

        Args:
            key: Digest of account and key, see ``keys.key_of``.
            request_id: Id of the run; must never be reused.
            body: Digest of the request body.
            created_ms: Result of ``check_age``.

        Raises:
            WharfError: ``CLAIM_UNAVAILABLE``: the run was not and must not be
                dispatched, even if its claim is appended later.
                ``KEY_EXPIRED``: the owner of the shard considers the key too
                old. ``CLAIM_UNKNOWN``: an earlier run of the key may have been
                dispatched, and its claim was lost with records of the log.
        """
        wanted = key_messages.ClaimRequest(
            key,
            body,
            self._instance,
            request_id,
            "",
            self._clock.wall_ms() if created_ms is None else created_ms,
            created_ms is not None,
        )
        try:
            return await self._claim(wanted)
        except (errors.WharfError, asyncio.CancelledError):
            self.abandon(request_id)
            raise

    def abandon(self, request_id: str) -> None:
        """Records that a run was not and will not be dispatched.

        A later run of the key may then replace its claim. Only the instance of
        the run can state this. If that instance is gone, the outcome of the run
        remains unknown.
        """
        self._abandoned[request_id] = None
        while len(self._abandoned) > _MAX_ABANDONED:
            self._abandoned.popitem(last=False)

    async def _claim(self, wanted: key_messages.ClaimRequest) -> Claim:
        for _ in range(_MAX_TRIES):
            held = await self._ask_owner(wanted)
            if held.request_id == wanted.request_id:
                return Claim(True, held.owner, held.request_id, held.body)
            if not await self._is_abandoned(held):
                return Claim(False, held.owner, held.request_id, held.body)
            wanted = dataclasses.replace(wanted, replaces=held.request_id)
        raise _unavailable(is_new=False)

    async def _ask_owner(
        self, wanted: key_messages.ClaimRequest
    ) -> key_messages.ClaimReply:
        shard = claim_shard.shard_of(wanted.key)
        for owner in self._owners(shard)[:_MAX_TRIES]:
            try:
                held = await self._ask(owner, wanted)
            except network.PeerError:
                # The next owner may claim for the same run again. Two claims of
                # one run count as one.
                continue
            if held.request_id:
                return held
            if held.is_expired:
                raise errors.WharfError(errors.ErrorKind.KEY_EXPIRED)
            if held.is_unknown:
                detail = _DID_NOT_RUN_DETAIL
                raise errors.WharfError(errors.ErrorKind.CLAIM_UNKNOWN, detail)
            raise _unavailable(is_new=held.is_new)
        raise _unavailable(is_new=False)

    async def _ask(
        self, owner: str, wanted: key_messages.ClaimRequest
    ) -> key_messages.ClaimReply:
        if owner == self._instance:
            return await self._on_claim_wanted(owner, wanted)
        held = await self._peers.ask(
            owner, wanted, timeout_ms=_CLAIM_TIMEOUT_MS
        )
        if not isinstance(held, key_messages.ClaimReply):
            raise network.PeerError(network.PeerFault.REFUSED, owner)
        return held

    async def _is_abandoned(self, held: key_messages.ClaimReply) -> bool:
        if held.owner == self._instance:
            return held.request_id in self._abandoned
        message = key_messages.AbandonedRequest(held.request_id)
        try:
            answer = await self._peers.ask(
                held.owner, message, timeout_ms=_ABANDONED_TIMEOUT_MS
            )
        except network.PeerError:
            return False
        match answer:
            case key_messages.AbandonedReply(is_abandoned):
                return is_abandoned
        return False

    async def _on_claim_wanted(
        self, sender: str, message: key_messages.ClaimRequest
    ) -> key_messages.ClaimReply:
        record = claim_records.ClaimRecord(
            message.key,
            message.body,
            message.owner,
            message.request_id,
            message.replaces,
            message.wall_ms,
            message.is_dated,
        )
        shard = self._shard(claim_shard.shard_of(message.key))
        try:
            held = await shard.claim(record)
        except claim_shard.ClaimUnknownError:
            return await self._ask_former_owners(message)
        except claim_shard.ClaimUnavailableError as error:
            return key_messages.ClaimReply(is_new=error.is_new)
        except claim_shard.KeyTooOldError:
            return key_messages.ClaimReply(is_expired=True)
        return key_messages.ClaimReply(held.owner, held.request_id, held.body)

    async def _ask_former_owners(
        self, wanted: key_messages.ClaimRequest
    ) -> key_messages.ClaimReply:
        """Asks those who owned the shard before for the holder of a key.

        Until they have appended what the log has lost, they alone know it.
        """
        message = key_messages.HolderRequest(wanted.key)
        owners = self._owners(claim_shard.shard_of(wanted.key))[:_MAX_TRIES]
        for owner in owners:
            if owner == self._instance:
                continue
            try:
                held = await self._peers.ask(
                    owner, message, timeout_ms=_HOLDER_TIMEOUT_MS
                )
            except network.PeerError:
                continue
            match held:
                case key_messages.ClaimReply(request_id=request_id):
                    if request_id not in ("", wanted.replaces):
                        return held
        return key_messages.ClaimReply(is_unknown=True)

    async def _on_holder_wanted(
        self, sender: str, message: key_messages.HolderRequest
    ) -> key_messages.ClaimReply:
        shard = self._shards.get(claim_shard.shard_of(message.key))
        held = None if shard is None else shard.holders.get(message.key)
        if held is None:
            return key_messages.ClaimReply()
        return key_messages.ClaimReply(held.owner, held.request_id, held.body)

    async def _on_ask_abandoned(
        self, sender: str, message: key_messages.AbandonedRequest
    ) -> key_messages.AbandonedReply:
        return key_messages.AbandonedReply(
            message.request_id in self._abandoned
        )

    def _shard(self, number: int) -> claim_shard.ClaimShard:
        shard = self._shards.get(number)
        if shard is None:
            shard = claim_shard.ClaimShard(
                number,
                self._log,
                self._clock,
                self._retention,
                on_restored=self._restored.set,
            )
            self._shards[number] = shard
        return shard

    def _owners(self, shard: int) -> list[str]:
        names = [m.instance for m in self._membership.present()]
        return hashing.rank(claim_shard.stream_of(shard), names)

    @mode.Service.task
    async def _reappend(self) -> None:
        """Keeps owned shards in memory and their claims on the log.

        Claims in memory can be looked up while the log is unavailable. Once one
        shard finds that the log was restored, all of them are read again.
        """
        await self._clock.sleep_ms(_FIRST_REAPPEND_DELAY_MS)
        while not self.should_stop:
            self._restored.clear()
            try:
                await self._reappend_all()
            except (log.LogUnavailableError, log.AppendUnknownError) as error:
                self._logger.warning("claims_not_carried", why=str(error))
            await self._wait_for_reappend()

    async def _wait_for_reappend(self) -> None:
        with contextlib.suppress(TimeoutError):
            interval_ms = self._retention.reappend_interval_ms
            async with self._clock.timeout_ms(interval_ms):
                await self._restored.wait()

    async def _reappend_all(self) -> None:
        for number in range(claim_shard.SHARDS):
            owners = self._owners(number)
            if owners and owners[0] == self._instance:
                await self._shard(number).reappend()
            elif number in self._shards:
                # Its new owner may lack what this instance alone remembers.
                await self._shards[number].reappend()
                self._shards.pop(number, None)


def _unavailable(*, is_new: bool) -> errors.WharfError:
    """Builds the error for a run that was not and will not be dispatched.

    An earlier run with the same key may have been dispatched, and a caller may
    act on "did not run" by other means. ``Ran.NO`` is therefore only reported
    when the log was read to its end and has no claim of the key.
    """
    return errors.WharfError(
        errors.ErrorKind.CLAIM_UNAVAILABLE,
        "" if is_new else _DID_NOT_RUN_DETAIL,
        retry_after_ms=retries.DEFAULT_RETRY_AFTER_MS,
        ran=errors.Ran.NO if is_new else errors.Ran.UNKNOWN,
    )
