"""State of one peer: its links and the task that maintains them."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
from typing import TYPE_CHECKING

from jujubewharf.peers import link as links
from jujubewharf.peers import link_messages

if TYPE_CHECKING:
    from jujubewharf import clock as clocks
    from jujubewharf.peers import messages

MAX_WAITING_TELLS = 64

_MIN_BACKOFF_MS = 250.0
_MAX_BACKOFF_MS = 4_000.0
_IDLE_TIMEOUT_MS = 10_000.0
_DEFERRED_DIAL_MS = 300.0
_MIN_WAIT_MS = 10.0
_MAX_STALE_MS = 60_000.0
_MAX_ENDING_MS = 10_000.0
_JITTER = 0.1
_STOPPING = link_messages.CloseReason.STOPPING.value


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Heartbeat and timeout intervals of the links.

    Attributes:
        heartbeat_ms: Interval between heartbeats on a link, in ms.
        suspect_after_ms: Silence after which a peer is suspected, in ms.
        dead_after_ms: Silence after which a link is closed, in ms.
    """

    heartbeat_ms: float
    suspect_after_ms: float

    @property
    def dead_after_ms(self) -> float:
        """Silence after which a link is closed and redialled, in ms."""
        return 2 * self.suspect_after_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """Contact with a peer, as seen by the links.

    Attributes:
        is_linked: Whether there is an open link.
        is_watched: Whether the peer is expected to send heartbeats.
        heard_ms: Time of the last frame from the peer, in ms; ``None`` for
            never.
        is_peer_receiving: Whether the peer receives frames from this instance,
            according to its last heartbeat.
        failed_ms: Time of the last failed dial since a link was opened, in
            ms; ``None`` if there is none.
    """

    is_linked: bool
    is_watched: bool
    heard_ms: float | None
    is_peer_receiving: bool
    failed_ms: float | None


NO_CONTACT = Contact(
    is_linked=False,
    is_watched=False,
    heard_ms=None,
    is_peer_receiving=True,
    failed_ms=None,
)


class Peer:
    """State of one other instance: links, backoff and waiting messages.

    Args:
        name: Name of the peer.
        instance: Name of this instance.
        clock: Source of time.
        timing: Heartbeat and timeout intervals of the links.
        dial: Opens and runs a link; raises ``OSError``.
        make_heartbeat: Creates a heartbeat, given whether the peer is heard.

    Attributes:
        is_wanted: Whether to keep a standing link.
        heard_ms: See ``Contact``.
        is_peer_receiving: See ``Contact``.
        failed_ms: See ``Contact``.
    """

    def __init__(
        self,
        name: str,
        instance: str,
        clock: clocks.Clock,
        timing: Timing,
        *,
        dial: Callable[[str, bool], Awaitable[links.Link]],
        make_heartbeat: Callable[[bool], link_messages.Heartbeat],
    ) -> None:
        self.name = name
        self.is_wanted = False
        self.failed_ms: float | None = None
        self.links: list[links.Link] = []
        self._heard_ms: float | None = None
        self._instance = instance
        self._clock = clock
        self._timing = timing
        self._dial = dial
        self._make_heartbeat = make_heartbeat
        self._dial_task: asyncio.Task[links.Link] | None = None
        self._waiting_messages: collections.deque[messages.Message]
        self._waiting_messages = collections.deque()
        self._changed = asyncio.Event()
        self._backoff_ms = 0.0
        self._link_missing_since_ms: float | None = None
        self._maintained_ms = float("-inf")
        self._random = random.Random(f"{instance}>{name}")

    def __repr__(self) -> str:
        return f"Peer({self.name}, links={self.links})"

    @property
    def heard_ms(self) -> float | None:
        """Time of the last frame from the peer on any link, in ms."""
        for link in self.links:
            self._heard_ms = max(self._heard_ms or 0.0, link.last_heard_ms)
        return self._heard_ms

    @property
    def is_peer_receiving(self) -> bool:
        """Whether the peer receives frames; true without a link."""
        link = self.best_link()
        return link is None or link.is_peer_receiving

    @property
    def is_needed(self) -> bool:
        """Whether the peer needs its maintenance task."""
        return (
            self.is_wanted or bool(self.links) or bool(self._waiting_messages)
        )

    def contact(self) -> Contact:
        """Returns the state of the contact with the peer."""
        link = self.best_link()
        has_standing_link = link is not None and link.is_standing
        return Contact(
            is_linked=link is not None,
            is_watched=self.is_wanted or has_standing_link,
            heard_ms=self.heard_ms,
            is_peer_receiving=self.is_peer_receiving,
            failed_ms=self.failed_ms,
        )

    def best_link(self) -> links.Link | None:
        """Returns the link to send on, if any.

        Both sides choose the same link: a standing link is preferred, then
        the one dialled by the instance with the lower name.
        """
        open_links = [link for link in self.links if link.takes_messages]
        if len(open_links) == 1:
            return open_links[0]
        return min(open_links, key=self._link_priority, default=None)

    def add(self, link: links.Link) -> None:
        """Adds a new link and sends the waiting messages on it."""
        self.links.append(link)
        self.failed_ms = None
        self._backoff_ms = 0.0
        while self._waiting_messages:
            link.tell(self._waiting_messages.popleft())

    def remove(self, link: links.Link) -> None:
        """Removes a link that ended."""
        self._heard_ms = self.heard_ms
        self.links.remove(link)
        self._changed.set()
        if link.farewell is not None and link.farewell.reason == _STOPPING:
            # The peer announced that it stops: treat it as a failed dial.
            self._record_failure()

    def set_wanted(self, is_wanted: bool) -> None:
        """Sets whether to keep a standing link."""
        if is_wanted != self.is_wanted:
            self.is_wanted = is_wanted
            self._backoff_ms = 0.0
            self._changed.set()

    def clear_failure(self) -> None:
        """Clears a failed dial and its backoff."""
        self.failed_ms = None
        self._backoff_ms = 0.0
        self._changed.set()

    def replace_links(self) -> None:
        """Replaces all links by new ones without losing pending requests."""
        for link in self.links:
            if link.stale_ms is None:
                link.stale_ms = self._clock.now_ms()
        self._changed.set()

    def tell_when_linked(self, message: messages.Message) -> bool:
        """Queues a message for the link that is about to be dialled.

        Returns:
            False during the backoff of a failed dial or if the queue is full.
        """
        if (
            self._is_backing_off()
            or len(self._waiting_messages) >= MAX_WAITING_TELLS
        ):
            return False
        self._waiting_messages.append(message)
        self._changed.set()
        return True

    async def link(self) -> links.Link:
        """Returns an open link, dialling if there is none.

        Raises:
            OSError: The dial failed, or its backoff has not elapsed.
        """
        link = self.best_link()
        if link is not None:
            return link
        if self._is_backing_off():
            raise ConnectionRefusedError(self.name)
        return await self._dial_once(False)

    async def run(self) -> None:
        """Maintains the links until the peer is no longer needed."""
        self._changed.clear()
        while self.is_needed:
            if self._should_dial() and not self._is_backing_off():
                await self._try_dial()
            self._maintain_links()
            await self._wait(self._wait_ms())

    def _should_dial(self) -> bool:
        link = self.best_link()
        if link is None and self._waiting_messages:
            return True
        has_standing_link = link is not None and link.is_standing
        if not self.is_wanted or (has_standing_link and not _is_stale(link)):
            self._link_missing_since_ms = None
            return False
        # Both sides may want the link. The instance with the lower name dials
        # at once and the other after a delay, to avoid duplicate links.
        now_ms = self._clock.now_ms()
        if self._link_missing_since_ms is None:
            self._link_missing_since_ms = now_ms
        if self._instance < self.name:
            return True
        return now_ms >= self._link_missing_since_ms + _DEFERRED_DIAL_MS

    async def _try_dial(self) -> None:
        try:
            await self._dial_once(self.is_wanted)
        except OSError:
            self._waiting_messages.clear()

    async def _dial_once(self, is_standing: bool) -> links.Link:
        """Dials, or waits for the dial in progress."""
        if self._dial_task is None or self._dial_task.done():
            self._dial_task = asyncio.ensure_future(
                self._dial(self.name, is_standing)
            )
            self._dial_task.add_done_callback(_retrieve_exception)
        dial_task = self._dial_task
        # Do not cancel the dial with this caller: others may wait for it.
        await asyncio.wait((dial_task,))
        try:
            return dial_task.result()
        except OSError:
            self._record_failure()
            raise

    def _record_failure(self) -> None:
        now_ms = self._clock.now_ms()
        if self.failed_ms == now_ms:
            return
        self.failed_ms = now_ms
        doubled_ms = max(_MIN_BACKOFF_MS, 2 * self._backoff_ms)
        self._backoff_ms = min(doubled_ms, _MAX_BACKOFF_MS)

    def _is_backing_off(self) -> bool:
        if self.failed_ms is None:
            return False
        return self._clock.now_ms() < self.failed_ms + self._backoff_ms

    def _maintain_links(self) -> None:
        best = self.best_link()
        now_ms = self._clock.now_ms()
        for link in list(self.links):
            is_best_standing = link is best and link.is_standing
            if is_best_standing and (self.is_wanted or not link.is_dialled):
                link.last_used_ms = now_ms
            is_ending = link.ending_since_ms is not None
            is_watched = is_best_standing or link.is_busy or is_ending
            if not is_watched:
                link.watched_since_ms = None
            elif link.watched_since_ms is None:
                link.watched_since_ms = now_ms
            if self._has_ended_in_vain(link):
                link.close()
            elif link.takes_messages and self._is_given_up(link, best):
                link.finish(_idle_farewell())
            elif is_watched:
                self._send_heartbeat(link)
        self._maintained_ms = now_ms

    def _send_heartbeat(self, link: links.Link) -> None:
        now_ms = self._clock.now_ms()
        # An idle link has no heartbeats. Its silence from before a request says
        # nothing, and would close the link under the request.
        expected_ms = max(link.last_heard_ms, link.watched_since_ms or 0.0)
        silence_ms = now_ms - expected_ms
        # After a pause of this process, received frames are still unread.
        # Silence only counts if this task has run recently.
        has_run_recently = (
            now_ms - self._maintained_ms < self._timing.suspect_after_ms
        )
        if silence_ms > self._timing.dead_after_ms and has_run_recently:
            link.close()
            if link.ending_since_ms is None:
                self._record_failure()
            return
        is_heard = silence_ms <= self._timing.suspect_after_ms
        link.send_heartbeat(self._make_heartbeat(is_heard))

    def _has_ended_in_vain(self, link: links.Link) -> bool:
        """Whether the peer leaves a link open that this side has finished.

        A peer whose keys were revoked could otherwise keep it for ever.
        """
        since_ms = link.ending_since_ms
        if since_ms is None:
            return False
        return self._clock.now_ms() - since_ms > _MAX_ENDING_MS

    def _is_given_up(self, link: links.Link, best: links.Link | None) -> bool:
        return self._is_idle(link) or self._is_superseded(link, best)

    def _is_idle(self, link: links.Link) -> bool:
        if not link.is_dialled or link.is_busy:
            return False
        return self._clock.now_ms() - link.last_used_ms > _IDLE_TIMEOUT_MS

    def _is_superseded(self, link: links.Link, best: links.Link | None) -> bool:
        """Whether to close a link that was opened with replaced TLS keys.

        It is closed once a newer link takes over, and in any case after
        ``_MAX_STALE_MS``, so that revoked keys do not stay in use.
        """
        if link.stale_ms is None:
            return False
        if self._clock.now_ms() - link.stale_ms > _MAX_STALE_MS:
            return True
        return link.is_dialled and link is not best and not link.is_busy

    def _wait_ms(self) -> float:
        wait_ms = self._timing.heartbeat_ms
        if not self.links and self.is_wanted:
            wait_ms = self._until_dial_ms()
        return wait_ms * self._random.uniform(1 - _JITTER, 1 + _JITTER)

    def _until_dial_ms(self) -> float:
        now_ms = self._clock.now_ms()
        due_ms = now_ms
        if self.failed_ms is not None:
            due_ms = self.failed_ms + self._backoff_ms
        if (
            self._instance > self.name
            and self._link_missing_since_ms is not None
        ):
            due_ms = max(
                due_ms, self._link_missing_since_ms + _DEFERRED_DIAL_MS
            )
        return max(_MIN_WAIT_MS, due_ms - now_ms)

    async def _wait(self, duration_ms: float) -> None:
        try:
            async with self._clock.timeout_ms(duration_ms):
                await self._changed.wait()
        except TimeoutError:
            return
        self._changed.clear()

    def _link_priority(self, link: links.Link) -> tuple[bool, bool, bool, int]:
        lower_dialled = link.is_dialled == (self._instance < self.name)
        return (
            _is_stale(link),
            not link.is_standing,
            not lower_dialled,
            self.links.index(link),
        )


def _retrieve_exception(dial_task: asyncio.Task[links.Link]) -> None:
    """Retrieves an exception that no caller waits for any more."""
    if not dial_task.cancelled():
        dial_task.exception()


def _is_stale(link: links.Link | None) -> bool:
    return link is not None and link.stale_ms is not None


def _idle_farewell() -> link_messages.Farewell:
    return link_messages.Farewell(link_messages.CloseReason.IDLE.value)
