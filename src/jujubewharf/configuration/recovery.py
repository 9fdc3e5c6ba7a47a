"""Recovery when the next records have been truncated from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from jujubewharf.configuration import checkpoints
from jujubewharf.configuration import snapshot as snapshots

if TYPE_CHECKING:
    from jujubewharf.configuration import peer_sync as peer_syncs
    from jujubewharf.configuration import replica as replicas

_ROUNDS_TO_CLOSE_GAP = 3


class Recovery:
    """Finds a state to continue from, or declares records as lost.

    Args:
        replica: Configuration of this instance.
        store: Checkpoints in the log.
        peer_sync: Synchronization with peers; ``None`` for a single instance.
        instance: Name of this instance.

    Attributes:
        is_loss_accepted: Whether an operator confirmed that members which do
            not answer have no further records, and that a fleet without any
            state may start with an empty one. Reset by the next successful
            read of the log.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        store: checkpoints.CheckpointStore,
        peer_sync: peer_syncs.PeerSync | None,
        *,
        instance: str,
    ) -> None:
        self._replica = replica
        self._store = store
        self._peer_sync = peer_sync
        self._instance = instance
        self.is_loss_accepted = False
        self._gap_rounds = 0
        self._logger = structlog.get_logger()

    async def recover(self, first_offset: int) -> bool:
        """Adopts a state from which the log's records can be applied.

        Peers are asked first, so that the instances of a restarted rack don't
        all read the checkpoint from the log at once.

        Args:
            first_offset: Offset of the oldest record in the log.

        Returns:
            Whether such a state was adopted; if not, the caller retries.

        Raises:
            LogUnavailableError: The log is unavailable.
            AppendUnknownError: The log did not confirm an append.
        """
        if self._peer_sync is not None:
            await self._peer_sync.adopt_from_any()
        if self._can_continue(first_offset):
            return True
        await self._store.refresh()
        for manifest in self._store.usable_manifests(
            self._replica.next_offset, first_offset
        ):
            if await self._load(manifest):
                return True
        await self._close_gap(first_offset)
        return False

    def _can_continue(self, first_offset: int) -> bool:
        if self._replica.next_offset < first_offset:
            return False
        self._gap_rounds = 0
        return True

    async def _load(self, manifest: checkpoints.Manifest) -> bool:
        rules = self._replica.current.newest_rules_version
        try:
            state = await self._store.load(manifest, newest_rules_version=rules)
        except snapshots.InvalidSnapshotError as error:
            self._logger.error(
                "checkpoint_broken",
                next_offset=manifest.next_offset,
                detail=str(error),
            )
            return False
        self._gap_rounds = 0
        return self._replica.adopt(state, source="checkpoint")

    async def _close_gap(self, first_offset: int) -> None:
        """Declares the records up to the first one in the log as lost.

        If the log was down for longer than its retention, appended records may
        expire before any instance has read them. No operator received a
        verdict on these, but the fleet would wait for them forever. Instead,
        the most recent state is written as a checkpoint that continues at the
        first record in the log. This requires a reply from every member: a
        silent one may have applied and acknowledged the missing records.
        """
        if not await self._may_close_gap():
            self._gap_rounds = 0
            return
        self._gap_rounds += 1
        if self._gap_rounds < _ROUNDS_TO_CLOSE_GAP:
            return
        self._logger.error(
            "records_lost",
            from_offset=self._replica.next_offset,
            to_offset=first_offset,
        )
        await self._store.write(
            self._replica.current, self._instance, continue_at=first_offset
        )

    async def _may_close_gap(self) -> bool:
        own_offset = self._replica.next_offset
        offsets = (
            await self._peer_sync.member_offsets() if self._peer_sync else {}
        )
        known_offsets = {
            name: offset
            for name, offset in offsets.items()
            if offset is not None
        }
        if any(offset > own_offset for offset in known_offsets.values()):
            return False
        if self.is_loss_accepted:
            return True
        if not own_offset or len(known_offsets) < len(offsets):
            # An empty state would delete the whole configuration; it is only
            # used if an operator accepts the loss.
            return False
        equal_members = [
            name
            for name, offset in known_offsets.items()
            if offset == own_offset
        ]
        return self._instance <= min(equal_members, default=self._instance)
