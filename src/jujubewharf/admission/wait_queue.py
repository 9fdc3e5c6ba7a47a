"""Wait queue for memory on the decode engines of one service.

In a burst that fills all engines, polling by every request would grow with
requests times engines, and memory would go to whichever request asked at the
right moment. Instead, an instance queues its requests in the order of
``admission.order`` and wakes the first one whenever one of its own responses
has ended and released memory. Handles hundreds of waiting requests.

While classes or accounts compete, requests ask in rounds: memory that comes
free begins a round, in which each request asks after those that precede it.
A request that arrives or whose interval ends takes its turn in the round, so
that it can't take memory that another one was woken for.
"""

from __future__ import annotations

import asyncio
import bisect
import collections
from collections.abc import Hashable
from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import itertools

from jujubewharf import clock as clocks
from jujubewharf.admission import fair_share
from jujubewharf.admission import order as orders
from jujubewharf.admission import tickets

# Least age of a round at which the end of an interval begins another one, as a
# share of that interval.
_ROUND_INTERVAL_SHARE = 0.5


# Rank of a queued request; the number keeps the order of equal ranks.
_Key = tuple[orders.Rank, int]


class Rejection(enum.Enum):
    """Rule by which a queued request is rejected.

    ``DUE``: no memory came free in time. ``NO_TIME``: it could not complete
    before its deadline when it arrived. ``UNAVAILABLE``: no engine may be asked
    in time. ``ORDER``: the requests before it use all memory until it is due.
    ``VERSION``: no engine of its stream's software version is left.
    """

    DUE = "due"
    NO_TIME = "no_time"
    UNAVAILABLE = "unavailable"
    ORDER = "order"
    VERSION = "version"


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A queued request.

    Attributes:
        ticket: What its rank depends on.
        tokens: Memory that it needs, in tokens.
        preceded_by: Number of requests that preceded it when it was queued, by
            priority.
        has_waited: Whether it was not placed at once.
        rejected_by: Rule that applies if it is rejected.
        account_group: Group of its account when it was served or rejected.
        asked_round: Last round in which it asked.
        is_asking: Whether it is asking engines.
        key: Its rank when the queue was last sorted, and its number.
    """

    ticket: tickets.Ticket
    tokens: int = 0
    preceded_by: dict[int, int] = dataclasses.field(default_factory=dict)
    has_waited: bool = False
    rejected_by: Rejection = Rejection.DUE
    account_group: fair_share.AccountGroup = fair_share.AccountGroup.NONE
    asked_round: int = -1
    is_asking: bool = False
    key: _Key | None = None
    _wake_event: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )

    def wake(self) -> None:
        """Wakes the request so that it asks engines again."""
        self._wake_event.set()

    def drop_wake(self) -> None:
        """Makes the next wait last until the request is woken again."""
        self._wake_event.clear()

    async def wait_until_woken(self) -> None:
        """Waits until the request is woken."""
        await self._wake_event.wait()
        self._wake_event.clear()


# A queued request with its key.
_Entry = tuple[orders.Rank, int, Waiter]


class WaitQueue:
    """Queued requests of one service, in order of rank.

    Args:
        order: Order of the requests.
        clock: Clock.

    Attributes:
        order: See above.
        held_tokens: Memory that the service's requests hold, in tokens.
    """

    def __init__(
        self, order: orders.AdmissionOrder, clock: clocks.Clock
    ) -> None:
        self.order = order
        self.held_tokens = 0
        self._clock = clock
        self._entries: list[_Entry] = []
        self._version: Hashable = None
        self._numbers = itertools.count()
        self._round = 0
        self._round_at_ms = 0.0
        # Number of entries at the front that have asked in this round or are
        # asking. Without it each request of a round would look through all
        # that precede it.
        self._asked_count = 0

    def __len__(self) -> int:
        return len(self._entries)

    @contextlib.contextmanager
    def enqueued(self, waiter: Waiter) -> Iterator[None]:
        """Keeps a request in the queue while the block runs.

        Its ticket is withdrawn unless the block has reported an outcome.
        """
        now_ms = self._clock.now_ms()
        self.order.queued(waiter.ticket, now_ms)
        entries = self._sorted()
        rank = self.order.rank(waiter.ticket, now_ms)
        waiter.key = (rank, next(self._numbers))
        position = bisect.bisect_left(entries, waiter.key)
        entries.insert(position, (*waiter.key, waiter))
        self._asked_count = min(position, self._asked_count)
        preceding = entries[:position]
        waiter.preceded_by = dict(
            collections.Counter(e[2].ticket.priority for e in preceding)
        )
        try:
            yield
        finally:
            self._remove(waiter)
            self.order.withdrawn(waiter.ticket)
            if self.order.is_active:
                self._wake_next()

    def wake_first(self) -> None:
        """Wakes the first request after memory came free."""
        self._round += 1
        self._round_at_ms = self._clock.now_ms()
        self._asked_count = 0
        if self.order.is_active:
            self._wake_next()
        elif self._entries:
            self._sorted()[0][2].wake()

    def begin_ask(self, waiter: Waiter) -> bool:
        """Returns whether it is the request's turn to ask engines.

        If it isn't, the request that must ask before it is woken.
        """
        if self.order.is_active:
            if not self._is_turn(waiter):
                return False
            # Woken for this turn, or for one that it has had.
            waiter.drop_wake()
        self.begin_last_ask(waiter)
        return True

    def begin_last_ask(self, waiter: Waiter) -> None:
        """Notes that a request that is due asks without regard to its turn."""
        waiter.asked_round = self._round
        waiter.is_asking = True

    def end_ask(self, waiter: Waiter, *, is_served: bool) -> None:
        """Wakes the request after this one, which has finished asking."""
        waiter.is_asking = False
        if waiter.asked_round < self._round:
            # A round has begun meanwhile, in which it has yet to ask.
            self._asked_count = 0
        if self.order.is_active:
            # Before the next one is chosen, so that the account's share counts.
            if is_served:
                self._remove_served(waiter)
            self._wake_next()
            return
        entries = self._sorted()
        position = self._position(waiter) + 1
        if position < len(entries):
            entries[position][2].wake()
        if is_served:
            self._remove_served(waiter)

    async def pause(self, waiter: Waiter, interval_ms: float) -> None:
        """Waits until a request is woken, is due, or an interval has passed.

        Memory that requests of other instances release is only found by
        asking. Where requests ask in rounds, the end of an interval begins one,
        in which the request that noticed takes its turn.
        """
        waiter.has_waited = True
        remaining_ms = waiter.ticket.due_ms - self._clock.now_ms()
        try:
            async with self._clock.timeout_ms(
                max(1.0, min(interval_ms, remaining_ms))
            ):
                await waiter.wait_until_woken()
        except TimeoutError:
            age_ms = self._clock.now_ms() - self._round_at_ms
            is_old = age_ms >= interval_ms * _ROUND_INTERVAL_SHARE
            if self.order.is_active and is_old:
                self.wake_first()

    def blocking_tokens(self, waiter: Waiter) -> int:
        """Returns the memory that certainly goes to others before a request.

        These are requests of its class that precede it, wait at least as long
        and need no more memory than it does. 0 while nothing competes.

        Requests of higher classes don't count: the class may be given a turn
        before them.
        """
        if not self.order.is_active:
            return 0
        tokens = 0
        ticket = waiter.ticket
        for _, _, other in self._sorted():
            if other is waiter:
                break
            if (
                other.ticket.priority == ticket.priority
                and other.ticket.due_ms >= ticket.due_ms
                and other.tokens <= waiter.tokens
            ):
                tokens += other.tokens
        return tokens

    def _sorted(self) -> list[_Entry]:
        """Returns the entries in order, ranked again if ranks have changed."""
        now_ms = self._clock.now_ms()
        version = self.order.version(now_ms)
        if version != self._version:
            self._version = version
            self._asked_count = 0
            for _, number, waiter in self._entries:
                waiter.key = (self.order.rank(waiter.ticket, now_ms), number)
            self._entries.sort(key=_key_of)
            self._entries = [(*_key_of(e), e[2]) for e in self._entries]
        return self._entries

    def _position(self, waiter: Waiter) -> int:
        return bisect.bisect_left(self._entries, _key(waiter))

    def _remove(self, waiter: Waiter) -> None:
        position = self._position(waiter)
        entries = self._entries
        if position < len(entries) and entries[position][2] is waiter:
            del entries[position]
            if position < self._asked_count:
                self._asked_count -= 1

    def reject(self, waiter: Waiter) -> None:
        """Counts a request that is refused."""
        waiter.account_group = self.order.account_group(waiter.ticket)
        self.order.rejected(waiter.ticket)

    def _remove_served(self, waiter: Waiter) -> None:
        waiter.account_group = self.order.account_group(waiter.ticket)
        self._remove(waiter)
        self.order.served(waiter.ticket)

    def _is_turn(self, waiter: Waiter) -> bool:
        first = self._first_to_ask()
        if first is None or _key(first) >= _key(waiter):
            return True
        first.wake()
        return False

    def _wake_next(self) -> None:
        """Wakes the first request that hasn't asked in this round."""
        first = self._first_to_ask()
        if first is not None:
            first.wake()

    def _first_to_ask(self) -> Waiter | None:
        """Returns the first request that hasn't asked in this round."""
        entries = self._sorted()
        while self._asked_count < len(entries):
            waiter = entries[self._asked_count][2]
            if not waiter.is_asking and waiter.asked_round < self._round:
                return waiter
            self._asked_count += 1
        return None


def _key(waiter: Waiter) -> _Key:
    assert waiter.key is not None
    return waiter.key


def _key_of(entry: _Entry) -> _Key:
    return _key(entry[2])
