"""Follows the configuration stream and maintains the state in force."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import mode
from opentelemetry import metrics
import structlog

from jujubewharf import clock as clocks
from jujubewharf import ordered_service
from jujubewharf.configuration import checkpointer
from jujubewharf.configuration import checkpoints
from jujubewharf.configuration import peer_sync as peer_syncs
from jujubewharf.configuration import records
from jujubewharf.configuration import recovery
from jujubewharf.configuration import replica as replicas
from jujubewharf.configuration import state as states
from jujubewharf.platform import log

if TYPE_CHECKING:
    from jujubewharf.membership import view
    from jujubewharf.peers import network as networks

Listener = replicas.Listener

DEFAULT_RETENTION_MS = 86_400_000.0

_RETRY_DELAY_MS = 1_000.0
_SILENCE_GRACE_MS = 500.0
_PEER_INTERVAL_MS = 1_000.0
_COMPARE_INTERVAL_MS = 30_000.0
_FIRST_COMPARE_DELAY_MS = 2_000.0

_meter = metrics.get_meter("jujubewharf")
_lag = _meter.create_gauge(
    "configuration.lag_records",
    description="Records on the log that are not folded here yet",
)
_reads = _meter.create_counter(
    "configuration.log_reads",
    description="Reads of the configuration stream, by outcome",
)


class ConfigurationFollower(ordered_service.OrderedService):
    """Reads the configuration stream and applies its records.

    While the log does not answer, records are requested from peers. If the
    log no longer has the next record, the state of a checkpoint or a peer is
    adopted. The instances jointly keep a recent checkpoint in the log.

    Args:
        platform_log: The platform's log.
        clock: Time source.
        wait_ms: Maximum time in milliseconds that a read waits for new
            records.
        instance: Name of this instance.
        network: Messages to and from peers; ``None`` for a single instance.
        membership: Instances of the fleet; required with ``network``.
        retention_ms: Time in milliseconds for which the log keeps records.
        state: Initial state; empty by default.
    """

    def __init__(
        self,
        platform_log: log.Log,
        clock: clocks.Clock,
        *,
        wait_ms: float = 2_000.0,
        instance: str = "",
        network: networks.PeerNetwork | None = None,
        membership: view.MembershipView | None = None,
        retention_ms: float = DEFAULT_RETENTION_MS,
        state: states.State | None = None,
    ) -> None:
        super().__init__()
        self._log = platform_log
        self._clock = clock
        self._wait_ms = wait_ms
        self._last_reply_ms: float | None = None
        self._is_log_available = True
        self._is_log_behind = False
        self._logger = structlog.get_logger()
        self._replica = replicas.Replica(state)
        self._peer_sync: peer_syncs.PeerSync | None = None
        if network is not None and membership is not None:
            self._peer_sync = peer_syncs.PeerSync(
                self._replica, network, membership, clock
            )
        store = checkpoints.CheckpointStore(platform_log, clock)
        self._checkpointer = checkpointer.Checkpointer(
            self._replica,
            store,
            clock,
            instance=instance,
            membership=membership,
            retention_ms=retention_ms,
        )
        self._recovery = recovery.Recovery(
            self._replica, store, self._peer_sync, instance=instance
        )

    @property
    def current(self) -> states.State:
        """Configuration in force at this instance; always the same object."""
        return self._replica.current

    @property
    def caught_up(self) -> asyncio.Event:
        """Set once the end of the log was reached, directly or via a peer."""
        return self._replica.caught_up

    @property
    def is_frozen(self) -> bool:
        """Whether the next record requires rules unknown to this version."""
        return self._replica.is_frozen

    @property
    def is_log_behind(self) -> bool:
        """Whether the log ends before the offset of the local state.

        This happens if the log was restored from a backup or recreated. The
        configuration stays in force, but records that are appended to such a
        log are never applied.
        """
        return self._is_log_behind

    @property
    def log_silence_ms(self) -> float | None:
        """Milliseconds since the log last answered; ``None`` if never."""
        if self._last_reply_ms is None:
            return None
        return self._clock.now_ms() - self._last_reply_ms

    def listen(self, listener: Listener) -> None:
        """Adds a callback for each applied batch and each adopted state."""
        self._replica.listen(listener)

    def accept_loss(self) -> None:
        """Accepts the loss of records that only silent members may have.

        Operators call this if the log lost records and members that do not
        answer are known to be gone. Without a gap in the log it has no effect.
        """
        self._recovery.is_loss_accepted = True

    async def on_start(self) -> None:
        """Starts the peer synchronization and the checkpointer."""
        if self._peer_sync is not None:
            await self.add_runtime_dependency(self._peer_sync)
        await self.add_runtime_dependency(self._checkpointer)

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self._read_once()
            except log.LogTruncatedError as error:
                await self._recover(error.first_offset)
            except (log.LogUnavailableError, log.AppendUnknownError) as error:
                _reads.add(1, {"outcome": "unavailable"})
                self._update_availability(False, str(error))
                await self._clock.sleep_ms(_RETRY_DELAY_MS)

    async def _read_once(self) -> None:
        requested_offset = self._replica.next_offset
        page = await self._log.read(
            records.STREAM, requested_offset, wait_ms=self._wait_ms
        )
        _reads.add(1, {"outcome": "read"})
        self._update_availability(True)
        self._recovery.is_loss_accepted = False
        self._replica.apply_records(page.records)
        self._checkpointer.log_first_offset = page.first_offset
        self._update_log_end(page.next_offset, requested_offset)
        if self._replica.is_frozen:
            await self._clock.sleep_ms(_RETRY_DELAY_MS)

    def _update_availability(
        self, is_available: bool, detail: str = ""
    ) -> None:
        """Records whether the log answered, and logs each transition."""
        if is_available:
            self._last_reply_ms = self._clock.now_ms()
        if is_available == self._is_log_available:
            return
        self._is_log_available = is_available
        if is_available:
            self._logger.info("log_reached")
        else:
            self._logger.warning("log_unavailable", detail=detail)

    def _update_log_end(self, log_end: int, requested_offset: int) -> None:
        _lag.set(max(0, log_end - self._replica.next_offset))
        is_behind = log_end < requested_offset
        if is_behind and not self._is_log_behind:
            self._logger.error(
                "log_behind", log_end=log_end, in_force=requested_offset
            )
        self._is_log_behind = is_behind
        if not is_behind and self._replica.next_offset >= log_end:
            self._replica.caught_up.set()

    async def _recover(self, first_offset: int) -> None:
        _reads.add(1, {"outcome": "truncated"})
        try:
            is_recovered = await self._recovery.recover(first_offset)
        except (log.LogUnavailableError, log.AppendUnknownError) as error:
            self._logger.warning("log_unavailable", detail=str(error))
            is_recovered = False
        if not is_recovered:
            await self._clock.sleep_ms(_RETRY_DELAY_MS)

    @mode.Service.task
    async def _sync_with_peers(self) -> None:
        """Requests records from peers, more often while the log is silent.

        A log that answers may have been recreated and lack records. A new
        instance can only detect this by comparing with its peers.
        """
        if self._peer_sync is None:
            return
        started_ms = self._clock.now_ms()
        next_compare_ms = started_ms + _FIRST_COMPARE_DELAY_MS
        while not self.should_stop:
            await self._clock.sleep_ms(_PEER_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            last_reply_ms = (
                started_ms
                if self._last_reply_ms is None
                else self._last_reply_ms
            )
            is_silent = (
                now_ms - last_reply_ms > self._wait_ms + _SILENCE_GRACE_MS
            )
            if is_silent:
                await self._peer_sync.catch_up()
            elif now_ms >= next_compare_ms:
                next_compare_ms = now_ms + _COMPARE_INTERVAL_MS
                await self._peer_sync.catch_up(peer_count=1)
