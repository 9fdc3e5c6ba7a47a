"""Keeps where streams began for other instances, and tells those that ask."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from jujubewharf import clock as clocks
from jujubewharf.leadership import shared_state
from jujubewharf.peers import counters
from jujubewharf.peers import link as links
from jujubewharf.peers import link_messages
from jujubewharf.peers import messages
from jujubewharf.peers import origin_messages
from jujubewharf.peers import streams

# Silence after which a link is closed; it is dialled again when it is needed.
_IDLE_MS = 120_000.0
_CHECK_INTERVAL_MS = 10_000.0


class OriginServer:
    """Serves the links that other instances open to tell and ask.

    Args:
        state: State that all instances share.
        clock: Time source.

    Attributes:
        on_replicas: Called with the replicas that a peer knows.
    """

    def __init__(
        self, state: shared_state.SharedState, clock: clocks.Clock
    ) -> None:
        self.on_replicas: Callable[
            [tuple[origin_messages.ReplicaAddress, ...]], None
        ]
        self.on_replicas = lambda replicas: None
        self._state = state
        self._clock = clock
        self._counts = counters.PeerCounters()

    async def serve(
        self,
        hello: link_messages.Hello,
        reader: asyncio.StreamReader,
        writer: streams.StreamWriter,
    ) -> None:
        """Serves a link after its handshake, until it ends."""

        async def dispatch(
            peer: str, message: messages.Message
        ) -> messages.Message | None:
            return await self._handle(link, message)

        link = links.Link(
            hello,
            is_dialled=False,
            is_standing=True,
            reader=reader,
            writer=writer,
            clock=self._clock,
            counts=self._counts,
            dispatch=dispatch,
        )
        await self._run(link)

    async def _run(self, link: links.Link) -> None:
        """Runs a link until it ends, or has been idle for long.

        The end of a peer that is cut off never arrives.
        """
        running = asyncio.ensure_future(link.run())
        try:
            while not running.done():
                await asyncio.wait(
                    [running], timeout=_CHECK_INTERVAL_MS / clocks.MS_PER_S
                )
                if self._clock.now_ms() - link.last_heard_ms > _IDLE_MS:
                    break
        finally:
            link.close()
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    async def _handle(
        self, link: links.Link, message: messages.Message
    ) -> messages.Message | None:
        """Returns the reply to a message; ``None`` for those without one."""
        match message:
            case origin_messages.StreamCopy():
                stream = message.stream()
                if not stream.is_bounded:
                    return None
                self._state.origins.merge(stream.record(self._clock.now_ms()))
                return origin_messages.StreamsKept()
            case origin_messages.OriginRequest(key=key):
                return self._state.origin_reply(key)
            case origin_messages.StreamsRequest():
                for remembered in self._state.stream_messages():
                    link.tell(remembered)
                    # Thousands of streams take tenths of a second to encode.
                    await asyncio.sleep(0)
                return origin_messages.StreamsKept()
            case origin_messages.OriginReplicas():
                self.on_replicas(message.bounded())
        return None
