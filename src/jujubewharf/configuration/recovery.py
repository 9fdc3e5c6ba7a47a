"""What to do when the log no longer has the records that come next."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from jujubewharf.configuration import checkpoints
from jujubewharf.configuration import snapshot as snapshots

if TYPE_CHECKING:
    from jujubewharf.configuration import holding as holdings
    from jujubewharf.configuration import spread as spreads

_ROUNDS_TO_CLOSE_GAP = 3


class Recovery:
    """Finds a state to continue from, or agrees that records are lost.

    Args:
        holding: The configuration held here.
        store: Checkpoints on the log.
        spread: Peers; ``None`` for an instance alone.
        instance: Name of this instance.

    Attributes:
        is_loss_accepted: An operator's word that members which don't answer
            know nothing more, and that a fleet which lost everything is to
            begin anew. It holds for the present gap only.
    """

    def __init__(
        self,
        holding: holdings.Holding,
        store: checkpoints.CheckpointStore,
        spread: spreads.PeerSpread | None,
        *,
        instance: str,
    ) -> None:
        self._holding = holding
        self._store = store
        self._spread = spread
        self._instance = instance
        self.is_loss_accepted = False
        self._rounds = 0
        self._logger = structlog.get_logger()

    async def recover(self, first_offset: int) -> bool:
        """Looks for a state that the log's records lead on from.

        Peers come first: when a rack restarts, its instances would otherwise
        all read the whole checkpoint from the log at once.

        Args:
            first_offset: Oldest record that the log still has.

        Returns:
            Whether one was found; otherwise try again a little later.

        Raises:
            LogUnavailableError: The log was not reached.
            AppendUnknownError: The log did not answer.
        """
        if self._spread is not None:
            await self._spread.adopt_any()
        if self._is_led_on(first_offset):
            return True
        await self._store.refresh()
        for manifest in self._store.usable(
            self._holding.next_offset, first_offset
        ):
            if await self._load(manifest):
                return True
        await self._close_gap(first_offset)
        return False

    def _is_led_on(self, first_offset: int) -> bool:
        if self._holding.next_offset < first_offset:
            return False
        self._rounds = 0
        return True

    async def _load(self, manifest: checkpoints.Manifest) -> bool:
        rules = self._holding.current.newest_rules
        try:
            state = await self._store.load(manifest, newest_rules=rules)
        except snapshots.BrokenSnapshotError as error:
            self._logger.error(
                "checkpoint_broken",
                next_offset=manifest.next_offset,
                detail=str(error),
            )
            return False
        self._rounds = 0
        return self._holding.adopt(state, source="checkpoint")

    async def _close_gap(self, first_offset: int) -> None:
        """Agrees that the records up to what the log still has are lost.

        The log was out for longer than it keeps records, and some were
        appended that nobody had read yet; no operator was told that they are
        in force. Without this the fleet would wait for them for ever. The
        furthest state continues where the log does, as a checkpoint. It is
        written only when every member has answered that it knows no more:
        one that is silent may have read, and answered for, what seems lost.
        """
        if not await self._may_close_gap():
            self._rounds = 0
            return
        self._rounds += 1
        if self._rounds < _ROUNDS_TO_CLOSE_GAP:
            return
        self._logger.error(
            "records_lost",
            from_offset=self._holding.next_offset,
            to_offset=first_offset,
        )
        await self._store.write(
            self._holding.current, self._instance, continue_at=first_offset
        )

    async def _may_close_gap(self) -> bool:
        held = self._holding.next_offset
        offsets = await self._spread.offsets() if self._spread else {}
        heard = {
            name: offset
            for name, offset in offsets.items()
            if offset is not None
        }
        if any(offset > held for offset in heard.values()):
            return False
        if self.is_loss_accepted:
            return True
        if not held or len(heard) < len(offsets):
            # An empty state is never put in force by itself: it would say
            # that there is no configuration, not that it was lost.
            return False
        equals = [name for name, offset in heard.items() if offset == held]
        return self._instance <= min(equals, default=self._instance)
