"""Idempotency keys: key records and the home instances that store them.

The homes of a key are the two best instances by rendezvous hashing, in
different failure domains where possible. A record is a hint with a limited
lifetime that avoids a second run. It gives no guarantee for requests that are
not repeatable; claims do (``requests.claims``).
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import hashlib
from typing import NamedTuple

import mode
import xxhash

from jujubewharf import clock as clocks
from jujubewharf import hashing
from jujubewharf.membership import view as views
from jujubewharf.peers import key_messages
from jujubewharf.peers import network

MAX_RECORDS = 20_000
_KEY_BYTES = 16
_HOME_TIMEOUT_MS = 400.0
_COPY_TIMEOUT_MS = 150.0
_EXPIRE_INTERVAL_MS = 5_000.0


class HomesUnreachableError(Exception):
    """No home of a key answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """The run of a key.

    Attributes:
        key: Digest of account and key.
        body: Digest of the request body.
        owner: Instance that runs the request.
        request_id: Id of the run.
        attempt_id: Latest dispatched attempt; empty for none.
        engines: Names of the engines that hold resources for that attempt.
    """

    key: bytes
    body: bytes
    owner: str
    request_id: str
    attempt_id: str = ""
    engines: tuple[str, ...] = ()


class HomeProcess(NamedTuple):
    """A process that stores a key's record.

    Attributes:
        instance: Name of the instance, which a replacement may reuse.
        incarnation: Distinguishes the process from a replacement, which starts
            without records.
    """

    instance: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class _StoredRecord:
    record: KeyRecord
    expires_ms: float


def key_of(account: str, key: str) -> bytes:
    """Returns the digest that identifies a key of an account.

    The digest is cryptographic, so that no account can construct a collision
    with a key of another account.
    """
    data = f"{account}\0{key}".encode()
    return hashlib.sha256(data).digest()[:_KEY_BYTES]


def body_of(body_digest: str) -> bytes:
    """Returns a short digest of a body, to detect a key reused for another."""
    return xxhash.xxh3_64_digest(body_digest.encode())


def homes_of(key: bytes, members: tuple[views.Member, ...]) -> list[str]:
    """Returns the one or two homes of a key, best first."""
    domains = {member.instance: member.domain for member in members}
    ranked = hashing.rank(key.hex(), domains)
    if len(ranked) < 2:
        return ranked
    first, *others = ranked
    second = next(
        (name for name in others if domains[name] != domains[first]),
        others[0],
    )
    return [first, second]


class KeyHomes(mode.Service):
    """Stores records as a home of keys, and queries the homes of keys.

    Args:
        peers: Messaging between instances.
        membership: Instances that are present.
        clock: Source of time.
        incarnation_of: Returns the incarnation number of an instance as far as
            known.
        max_records: Maximum number of records stored here.

    Attributes:
        evicted: Number of records dropped early because of ``max_records``.
    """

    def __init__(
        self,
        peers: network.PeerNetwork,
        membership: views.MembershipView,
        clock: clocks.Clock,
        incarnation_of: Callable[[str], int],
        *,
        max_records: int = MAX_RECORDS,
    ) -> None:
        super().__init__()
        self.evicted = 0
        self._peers = peers
        self._membership = membership
        self._clock = clock
        self._incarnation_of = incarnation_of
        self._max_records = max_records
        self._records: collections.OrderedDict[bytes, _StoredRecord] = (
            collections.OrderedDict()
        )
        peers.handle(key_messages.Register, self._on_register)
        peers.handle(key_messages.LookupRequest, self._on_lookup)
        peers.handle(key_messages.Dispatched, self._on_dispatched)

    def __len__(self) -> int:
        return len(self._records)

    def homes(self, key: bytes) -> list[str]:
        """Returns the homes of a key by this instance's current membership."""
        return homes_of(key, self._membership.present())

    def home_processes(self, key: bytes) -> list[HomeProcess]:
        """Returns the homes of a key with the incarnation of each."""
        return [
            HomeProcess(name, self._incarnation_of(name))
            for name in self.homes(key)
        ]

    async def register(
        self, record: KeyRecord, *, replaces: str, keep_ms: float
    ) -> KeyRecord:
        """Registers a run at the key's homes unless another run is registered.

        The first home decides, and asks the second before it answers. A run
        that is registered at either home is therefore found, even if the other
        home has just joined.

        Args:
            record: The run to register.
            replaces: Run that this one replaces; empty for none.
            keep_ms: Lifetime of the record in ms.

        Returns:
            The registered record: the given one or that of another run.

        Raises:
            HomesUnreachableError: No home answered.
        """
        message = _register_message(record, replaces, keep_ms)
        for home in self.homes(record.key):
            try:
                answer = await self._ask(home, message)
            except network.PeerError:
                continue
            return _record_of(record.key, answer)
        raise HomesUnreachableError

    async def look_up(self, key: bytes) -> KeyRecord | None:
        """Returns the record of a key, or ``None`` if no home has one.

        Raises:
            HomesUnreachableError: No home answered.
        """
        for home in self.homes(key):
            try:
                answer = await self._ask(home, key_messages.LookupRequest(key))
            except network.PeerError:
                continue
            found = _record_of(key, answer)
            return found if found.request_id else None
        raise HomesUnreachableError

    def send_dispatch(
        self, key: bytes, attempt_id: str, engines: tuple[str, ...]
    ) -> None:
        """Informs the homes what to release if this instance is lost."""
        message = key_messages.Dispatched(key, attempt_id, engines)
        for home in self.homes(key):
            if home == self._peers.instance:
                self._set_dispatch(message)
            else:
                self._peers.tell(home, message)

    async def copy_to(
        self, home: str, record: KeyRecord, *, keep_ms: float
    ) -> None:
        """Copies a record to a new home of its key; failures are ignored."""
        message = _register_message(record, "", keep_ms, is_copy=True)
        try:
            await self._ask(home, message)
        except network.PeerError:
            return

    async def _ask(
        self,
        home: str,
        message: key_messages.Register | key_messages.LookupRequest,
        *,
        timeout_ms: float = _HOME_TIMEOUT_MS,
    ) -> key_messages.Registered:
        if home == self._peers.instance:
            match message:
                case key_messages.Register():
                    return await self._on_register(home, message)
                case key_messages.LookupRequest():
                    return await self._on_lookup(home, message)
        answer = await self._peers.ask(home, message, timeout_ms=timeout_ms)
        if not isinstance(answer, key_messages.Registered):
            raise network.PeerError(network.PeerFault.REFUSED, home)
        return answer

    async def _on_register(
        self, sender: str, message: key_messages.Register
    ) -> key_messages.Registered:
        known = self._get(message.key)
        expected = (message.request_id, message.replaces)
        if known is not None and known.request_id not in expected:
            return _registered_message(known)
        if known is not None and known.request_id == message.replaces:
            self._notify_replaced_owner(known, message)
        self._put(_record_of(message.key, message), message.keep_ms)
        if not message.is_copy:
            await self._ask_other_home(message)
        return _registered_message(
            self._get(message.key) or _record_of(b"", message)
        )

    async def _ask_other_home(self, message: key_messages.Register) -> None:
        """Copies a record to the other home, or adopts the one stored there."""
        others = [
            home
            for home in self.homes(message.key)
            if home != self._peers.instance
        ]
        if not others:
            return
        copy = dataclasses.replace(message, is_copy=True)
        try:
            # Must be well below the requester's timeout, so that an
            # unresponsive second home doesn't make the first one appear
            # unresponsive.
            answer = await self._ask(
                others[0], copy, timeout_ms=_COPY_TIMEOUT_MS
            )
        except network.PeerError:
            return
        if answer.request_id != message.request_id:
            self._put(_record_of(message.key, answer), message.keep_ms)

    async def _on_lookup(
        self, sender: str, message: key_messages.LookupRequest
    ) -> key_messages.Registered:
        known = self._get(message.key)
        if known is None:
            return key_messages.Registered(b"", "", "")
        return _registered_message(known)

    async def _on_dispatched(
        self, sender: str, message: key_messages.Dispatched
    ) -> None:
        self._set_dispatch(message)

    def _set_dispatch(self, message: key_messages.Dispatched) -> None:
        stored = self._records.get(message.key)
        request_id, _, _ = message.attempt_id.rpartition(".")
        if stored is not None and stored.record.request_id == request_id:
            stored.record = dataclasses.replace(
                stored.record,
                attempt_id=message.attempt_id,
                engines=tuple(message.engines),
            )

    def _notify_replaced_owner(
        self, known: KeyRecord, message: key_messages.Register
    ) -> None:
        """Informs an owner that may only be paused that it lost the key."""
        if known.owner not in (self._peers.instance, message.owner):
            notice = key_messages.TakeoverNotice(
                known.request_id, message.owner, message.request_id
            )
            self._peers.tell(known.owner, notice)

    def _get(self, key: bytes) -> KeyRecord | None:
        stored = self._records.get(key)
        if stored is None or stored.expires_ms <= self._clock.now_ms():
            return None
        return stored.record

    def _put(self, record: KeyRecord, keep_ms: float) -> None:
        expires_ms = self._clock.now_ms() + keep_ms
        self._records[record.key] = _StoredRecord(record, expires_ms)
        self._records.move_to_end(record.key)
        while len(self._records) > self._max_records:
            self._records.popitem(last=False)
            self.evicted += 1

    @mode.Service.task
    async def _expire(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_EXPIRE_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            due = [
                k for k, v in self._records.items() if v.expires_ms <= now_ms
            ]
            for key in due:
                del self._records[key]
            await asyncio.sleep(0)


def _register_message(
    record: KeyRecord, replaces: str, keep_ms: float, *, is_copy: bool = False
) -> key_messages.Register:
    return key_messages.Register(
        key=record.key,
        body=record.body,
        owner=record.owner,
        request_id=record.request_id,
        replaces=replaces,
        keep_ms=keep_ms,
        is_copy=is_copy,
        attempt_id=record.attempt_id,
        engines=record.engines,
    )


def _record_of(
    key: bytes, message: key_messages.Register | key_messages.Registered
) -> KeyRecord:
    return KeyRecord(
        key,
        message.body,
        message.owner,
        message.request_id,
        message.attempt_id,
        tuple(message.engines),
    )


def _registered_message(record: KeyRecord) -> key_messages.Registered:
    return key_messages.Registered(
        record.body,
        record.owner,
        record.request_id,
        record.attempt_id,
        record.engines,
    )
