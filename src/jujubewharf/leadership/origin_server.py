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


class OriginServer:
    """Serves the links that other instances open to tell and ask.

    Args:
        state: State that all instances share.
        clock: Time source.

    Attributes:
        on_replicas: Called with the replicas that a peer knows.
        on_link_end: Called with the address of a peer whose link ended.
    """

    def __init__(
        self, state: shared_state.SharedState, clock: clocks.Clock
    ) -> None:
        self.on_replicas: Callable[
            [tuple[origin_messages.ReplicaAddress, ...]], None
        ]
        self.on_replicas = lambda replicas: None
        self.on_link_end: Callable[[str], None] = lambda address: None
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
            return self.handle(link, message)

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
        try:
            await link.run()
        finally:
            self.on_link_end(hello.address)

    def handle(
        self, link: links.Link, message: messages.Message
    ) -> messages.Message | None:
        """Returns the reply to a message; ``None`` for those without one."""
        match message:
            case origin_messages.StreamCopy():
                now_ms = self._clock.now_ms()
                self._state.origins.merge(message.record(now_ms))
                return origin_messages.StreamsKept()
            case origin_messages.OriginRequest(key=key):
                return self._state.origin_reply(key)
            case origin_messages.StreamsRequest():
                for remembered in self._state.stream_messages():
                    link.tell(remembered)
                return origin_messages.StreamsKept()
            case origin_messages.OriginReplicas(replicas=replicas):
                self.on_replicas(replicas)
        return None
