"""A link: an open stream to a peer after the handshake.

``run`` reads the stream while a second task writes the send queue. The queue
is bounded in bytes, so that a slow reader uses a bounded amount of memory;
messages beyond the bound are refused.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
from typing import TYPE_CHECKING

import structlog

from jujubewharf.peers import codec
from jujubewharf.peers import counters
from jujubewharf.peers import link_messages
from jujubewharf.peers import messages
from jujubewharf.peers import network
from jujubewharf.telemetry import containment

if TYPE_CHECKING:
    from jujubewharf import clock as clocks
    from jujubewharf.peers import streams

MAX_QUEUED_BYTES = 8_000_000
# Largest number of requests, and of one-way messages, that are handled at the
# same time.
MAX_HANDLERS = 256

_CORRELATION_MODULUS = 2**32

Dispatch = Callable[[str, messages.Message], Awaitable[messages.Message | None]]


class HandlerMissingError(Exception):
    """No handler is registered for a message type."""


class Link:
    """A link to one peer.

    Args:
        hello: Hello of the peer.
        is_dialled: Whether this side opened the stream.
        is_standing: Whether the link is kept open while idle.
        reader: Reads from the peer.
        writer: Writes to the peer.
        clock: Source of time.
        counts: Counters of this instance.
        dispatch: Calls the handler of a message.

    Attributes:
        last_heard_ms: Time of the last frame received, in ms.
        last_used_ms: Time of the last frame sent or received other than
            heartbeats, in ms.
        is_peer_receiving: Whether the peer receives frames from this side,
            according to its last heartbeat.
        on_heartbeat: Called with each heartbeat.
        farewell: Farewell sent by the peer, if any.
        ending_since_ms: Time at which this side said farewell and began to wait
            for the peer to close, in ms; ``None`` if it didn't.
        has_broken: Whether the stream ended without a farewell or a local
            close.
        stale_ms: Time at which the TLS keys of this link were replaced, in
            ms; ``None`` while they are current.
        watched_since_ms: Time since which the peer is expected to send
            heartbeats, in ms; ``None`` while it isn't.
    """

    def __init__(
        self,
        hello: link_messages.Hello,
        *,
        is_dialled: bool,
        is_standing: bool,
        reader: asyncio.StreamReader,
        writer: streams.StreamWriter,
        clock: clocks.Clock,
        counts: counters.PeerCounters,
        dispatch: Dispatch,
    ) -> None:
        self.hello = hello
        self.is_dialled = is_dialled
        self.is_standing = is_standing
        self.last_heard_ms = clock.now_ms()
        self.last_used_ms = clock.now_ms()
        self.is_peer_receiving = True
        self.is_closed = False
        self.has_broken = False
        self.stale_ms: float | None = None
        self.watched_since_ms: float | None = None
        self.farewell: link_messages.Farewell | None = None
        self.ending_since_ms: float | None = None
        self.on_heartbeat: Callable[[Link, link_messages.Heartbeat], None]
        self.on_heartbeat = lambda link, heartbeat: None
        self._reader = reader
        self._writer = writer
        self._clock = clock
        self._counts = counts
        self._dispatch = dispatch
        self._correlations = itertools.count(1)
        self._pending_replies: dict[int, asyncio.Future[messages.Message]] = {}
        self._handler_tasks: dict[asyncio.Task[None], codec.FrameKind] = {}
        self._handler_counts: collections.Counter[codec.FrameKind]
        self._handler_counts = collections.Counter()
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._has_queued = asyncio.Event()
        self._logger = structlog.get_logger()

    def __repr__(self) -> str:
        direction = "to" if self.is_dialled else "from"
        return f"Link({direction} {self.peer})"

    @property
    def peer(self) -> str:
        """Name of the peer."""
        return self.hello.instance

    @property
    def takes_messages(self) -> bool:
        """Whether messages other than replies may be sent."""
        has_ended = self.is_closed or self.ending_since_ms is not None
        return not has_ended and self.farewell is None

    @property
    def pending_asks(self) -> int:
        """Number of requests that wait for a reply."""
        return len(self._pending_replies)

    @property
    def running_handlers(self) -> int:
        """Number of messages from the peer that are being handled."""
        return len(self._handler_tasks)

    @property
    def is_busy(self) -> bool:
        """Whether requests, handlers or queued frames are pending."""
        return bool(self._pending_replies or self._handler_tasks or self._queue)

    async def run(self) -> None:
        """Reads and writes until the stream ends.

        Handlers of requests are then cancelled because nobody waits for the
        reply. Handlers of one-way messages run to completion, so that a
        release takes effect even if its sender has failed since.
        """
        writer_task = asyncio.ensure_future(self._write_loop())
        try:
            await self._read_loop()
            self.has_broken = self.takes_messages
        finally:
            self.close()
            writer_task.cancel()
            for handler, kind in tuple(self._handler_tasks.items()):
                if kind is codec.FrameKind.ASK:
                    handler.cancel()
            await asyncio.gather(writer_task, return_exceptions=True)

    def tell(self, message: messages.Message) -> bool:
        """Queues a one-way message.

        Returns:
            False if the link is closed, its queue is full, or the message is
            too large or can't be encoded.
        """
        self.last_used_ms = self._clock.now_ms()
        if not self.takes_messages:
            return False
        return self._send(codec.Frame(codec.FrameKind.TELL, 0, message))

    def tell_encoded(self, data: bytes) -> bool:
        """Queues an encoded one-way frame, which several links may share."""
        self.last_used_ms = self._clock.now_ms()
        return self.takes_messages and self._enqueue(data)

    def send_heartbeat(self, heartbeat: link_messages.Heartbeat) -> None:
        """Queues a heartbeat, which doesn't count as use of the link."""
        self._send(codec.Frame(codec.FrameKind.TELL, 0, heartbeat))

    async def ask(
        self, message: messages.Message, *, timeout_ms: float
    ) -> messages.Message:
        """Sends a request and waits for the reply.

        Raises:
            PeerError: There was no reply.
        """
        correlation = next(self._correlations) % _CORRELATION_MODULUS
        frame = codec.Frame(codec.FrameKind.ASK, correlation, message)
        self.last_used_ms = self._clock.now_ms()
        if not self.takes_messages or not self._send(frame):
            raise network.PeerError(network.PeerFault.UNREACHABLE, self.peer)
        reply: asyncio.Future[messages.Message] = asyncio.Future()
        self._pending_replies[correlation] = reply
        try:
            async with self._clock.timeout_ms(timeout_ms):
                return await reply
        except TimeoutError as error:
            raise network.PeerError(
                network.PeerFault.LOST, self.peer
            ) from error
        finally:
            self._pending_replies.pop(correlation, None)
            self._close_if_finished()

    def finish(self, farewell: link_messages.Farewell) -> None:
        """Says farewell, and leaves it to the peer to close the link.

        The peer may have sent requests that cross the farewell. They are
        handled, and the peer closes once it has their replies.
        """
        if not self.takes_messages:
            return
        self._send(codec.Frame(codec.FrameKind.TELL, 0, farewell))
        self.ending_since_ms = self._clock.now_ms()

    def close(self, farewell: link_messages.Farewell | None = None) -> None:
        """Closes the link; pending requests fail as lost."""
        if self.is_closed:
            return
        if farewell is not None:
            frame = codec.Frame(codec.FrameKind.TELL, 0, farewell)
            self._write(codec.encode(frame))
        self.is_closed = True
        self._queue.clear()
        self._has_queued.set()
        self._writer.close()
        for reply in self._pending_replies.values():
            if not reply.done():
                reply.set_exception(
                    network.PeerError(network.PeerFault.LOST, self.peer)
                )

    def _send(self, frame: codec.Frame) -> bool:
        if self.is_closed:
            return False
        data = codec.encode_or_drop(frame, self._counts)
        return data is not None and self._enqueue(data)

    def _enqueue(self, data: bytes) -> bool:
        if self.is_closed:
            return False
        if len(data) > codec.MAX_FRAME_BYTES:
            self._counts.count_drop(counters.DropReason.TOO_LARGE_TO_SEND)
            return False
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self._counts.count_drop(counters.DropReason.QUEUE_FULL)
            return False
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._has_queued.set()
        return True

    async def _write_loop(self) -> None:
        while not self.is_closed:
            await self._has_queued.wait()
            self._has_queued.clear()
            while self._queue:
                data = self._queue.popleft()
                self._write(data)
                try:
                    await self._writer.drain()
                except OSError:
                    self.close()
                    return
                self._queued_bytes -= len(data)
            self._close_if_finished()

    def _write(self, data: bytes) -> None:
        self._writer.write(data)
        self._counts.count_sent(len(data))

    async def _read_loop(self) -> None:
        while not self.is_closed and not self._is_finished():
            try:
                body = await codec.read_body(self._reader)
            except codec.BrokenStreamError as error:
                if error.reason is not None:
                    self._counts.count_drop(error.reason)
                return
            self._counts.count_received(codec.frame_bytes(body))
            self.last_heard_ms = self._clock.now_ms()
            try:
                frame = codec.decode(body)
            except codec.DroppedFrameError as error:
                self._on_dropped(error)
                continue
            if frame.unknown_fields:
                self._counts.count_drop(counters.DropReason.UNKNOWN_FIELD)
            self._on_frame(frame)

    def _is_finished(self) -> bool:
        """Whether the peer has said farewell and nothing is under way."""
        if self.farewell is None:
            return False
        is_idle = self.farewell.reason == link_messages.CloseReason.IDLE.value
        return not is_idle or not self.is_busy

    def _close_if_finished(self) -> None:
        if self._is_finished():
            self.close()

    def _on_dropped(self, error: codec.DroppedFrameError) -> None:
        """Refuses an unreadable request, which would time out otherwise."""
        self._counts.count_drop(error.reason)
        match error.kind:
            case codec.FrameKind.ASK:
                self._refuse(error.correlation)
            case codec.FrameKind.ANSWER:
                self._on_reply(error.correlation, None)

    def _on_frame(self, frame: codec.Frame) -> None:
        match frame.kind:
            case codec.FrameKind.ANSWER:
                self._on_reply(frame.correlation, frame.message)
                return
            case codec.FrameKind.REFUSAL:
                self._on_reply(frame.correlation, None)
                return
        match frame.message:
            case link_messages.Heartbeat() as heartbeat:
                self.is_peer_receiving = heartbeat.is_receiving
                with containment.contained("heartbeat", peer=self.peer):
                    self.on_heartbeat(self, heartbeat)
            case link_messages.Farewell() as farewell:
                self.farewell = farewell
            case None:
                self._counts.count_drop(counters.DropReason.MALFORMED)
            case _:
                self._start_handler(frame)

    def _on_reply(
        self, correlation: int, message: messages.Message | None
    ) -> None:
        reply = self._pending_replies.get(correlation)
        if reply is None or reply.done():
            self._counts.count_drop(counters.DropReason.LATE_ANSWER)
            return
        if message is None:
            reply.set_exception(
                network.PeerError(network.PeerFault.REFUSED, self.peer)
            )
            return
        reply.set_result(message)

    def _start_handler(self, frame: codec.Frame) -> None:
        """Runs the handler in a task, so that it does not block reading."""
        self.last_used_ms = self._clock.now_ms()
        # Requests that wait for a decision must not keep out the one-way
        # messages, such as releases, that the decision depends on.
        if self._handler_counts[frame.kind] >= MAX_HANDLERS:
            self._counts.count_drop(counters.DropReason.BUSY)
            if frame.kind is codec.FrameKind.ASK:
                self._refuse(frame.correlation)
            return
        task = asyncio.ensure_future(self._handle(frame))
        self._handler_tasks[task] = frame.kind
        self._handler_counts[frame.kind] += 1
        task.add_done_callback(self._on_handler_done)

    def _on_handler_done(self, task: asyncio.Task[None]) -> None:
        kind = self._handler_tasks.pop(task)
        self._handler_counts[kind] -= 1
        self._close_if_finished()

    async def _handle(self, frame: codec.Frame) -> None:
        assert frame.message is not None
        reply: messages.Message | None = None
        try:
            reply = await self._dispatch(self.peer, frame.message)
        except HandlerMissingError:
            self._counts.count_drop(counters.DropReason.NO_HANDLER)
        except Exception:
            # An exception in one handler must not close the link, which would
            # fail all other pending requests on it.
            self._counts.count_drop(counters.DropReason.HANDLER_FAILED)
            self._logger.exception(
                "peer_handler_failed",
                peer=self.peer,
                message=type(frame.message).__name__,
            )
        if frame.kind is not codec.FrameKind.ASK:
            return
        if reply is None:
            self._refuse(frame.correlation)
            return
        sent = self._send(
            codec.Frame(codec.FrameKind.ANSWER, frame.correlation, reply)
        )
        if not sent:
            self._refuse(frame.correlation)

    def _refuse(self, correlation: int) -> None:
        self._send(codec.Frame(codec.FrameKind.REFUSAL, correlation))
