"""Follows the configuration stream and holds the state in force."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import mode
from opentelemetry import metrics
import structlog

from jujubewharf import clock as clocks
from jujubewharf.configuration import checkpointer
from jujubewharf.configuration import checkpoints
from jujubewharf.configuration import holding as holdings
from jujubewharf.configuration import records
from jujubewharf.configuration import recovery
from jujubewharf.configuration import spread as spreads
from jujubewharf.configuration import state as states
from jujubewharf.platform import log

if TYPE_CHECKING:
    from jujubewharf.membership import view
    from jujubewharf.peers import network as networks

Listener = holdings.Listener

DEFAULT_RETENTION_MS = 86_400_000.0

_RETRY_MS = 1_000.0
_SILENCE_GRACE_MS = 500.0
_SPREAD_MS = 1_000.0
_COMPARE_MS = 30_000.0
_FIRST_COMPARE_MS = 2_000.0

_meter = metrics.get_meter("jujubewharf")
_lag = _meter.create_gauge(
    "configuration.lag_records",
    description="Records on the log that are not folded here yet",
)
_reads = _meter.create_counter(
    "configuration.log_reads",
    description="Reads of the configuration stream, by outcome",
)


class ConfigurationFollower(mode.Service):
    """Reads the log on and on and folds what it reads.

    While the log is silent it asks peers for what they have read; when the
    log no longer has what comes next, a checkpoint or a peer's state leads
    on. Together with the others like it, it keeps a checkpoint on the log.

    Args:
        platform_log: The platform's log.
        clock: Time.
        wait_ms: How long one read waits for news.
        instance: Name of this instance.
        network: Messages to and from peers; ``None`` for an instance alone.
        membership: Who the peers are; goes with ``network``.
        retention_ms: How long the log keeps records.
        state: State to begin with; tests give one of another version.
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
        self._heard_ms: float | None = None
        self._is_reached = True
        self._is_log_behind = False
        self._logger = structlog.get_logger()
        self._holding = holdings.Holding(state)
        self._spread: spreads.PeerSpread | None = None
        if network is not None and membership is not None:
            self._spread = spreads.PeerSpread(
                self._holding, network, membership, clock
            )
        store = checkpoints.CheckpointStore(platform_log, clock)
        self._checkpointer = checkpointer.Checkpointer(
            self._holding,
            store,
            clock,
            instance=instance,
            membership=membership,
            retention_ms=retention_ms,
        )
        self._recovery = recovery.Recovery(
            self._holding, store, self._spread, instance=instance
        )

    @property
    def current(self) -> states.State:
        """Configuration in force here; always the same object."""
        return self._holding.current

    @property
    def caught_up(self) -> asyncio.Event:
        """Set once the end of the log was seen, or a peer's state taken."""
        return self._holding.caught_up

    @property
    def is_frozen(self) -> bool:
        """Whether the next record needs rules that this version lacks."""
        return self._holding.is_frozen

    @property
    def is_log_behind(self) -> bool:
        """Whether the log ends before what is in force here.

        It was restored from an old copy, or begun anew. What is in force
        stays so, but nothing appended there would ever be folded.
        """
        return self._is_log_behind

    @property
    def log_silence_ms(self) -> float | None:
        """Time since the log last answered; ``None`` before it first did."""
        if self._heard_ms is None:
            return None
        return self._clock.now_ms() - self._heard_ms

    def listen(self, listener: Listener) -> None:
        """Calls back after every run of records and every takeover."""
        self._holding.listen(listener)

    def accept_loss(self) -> None:
        """Goes on without records that only silent members may know.

        For operators, when the log lost records and some members on the list
        are known to be gone; see the operators' page on log outages. Without
        a gap it does nothing.
        """
        self._recovery.is_loss_accepted = True

    async def on_start(self) -> None:
        """Starts the parts."""
        if self._spread is not None:
            await self.add_runtime_dependency(self._spread)
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
                self._note_reached(False, str(error))
                await self._clock.sleep_ms(_RETRY_MS)

    async def _read_once(self) -> None:
        asked_for = self._holding.next_offset
        page = await self._log.read(
            records.STREAM, asked_for, wait_ms=self._wait_ms
        )
        _reads.add(1, {"outcome": "read"})
        self._note_reached(True)
        self._recovery.is_loss_accepted = False
        self._holding.fold(page.records)
        self._checkpointer.log_first_offset = page.first_offset
        self._note_log_end(page.next_offset, asked_for)
        if self._holding.is_frozen:
            await self._clock.sleep_ms(_RETRY_MS)

    def _note_reached(self, is_reached: bool, detail: str = "") -> None:
        """Notes whether the log answered, and logs only what is new."""
        if is_reached:
            self._heard_ms = self._clock.now_ms()
        if is_reached == self._is_reached:
            return
        self._is_reached = is_reached
        if is_reached:
            self._logger.info("log_reached")
        else:
            self._logger.warning("log_unavailable", detail=detail)

    def _note_log_end(self, log_end: int, asked_for: int) -> None:
        _lag.set(max(0, log_end - self._holding.next_offset))
        is_behind = log_end < asked_for
        if is_behind and not self._is_log_behind:
            self._logger.error(
                "log_behind", log_end=log_end, in_force=asked_for
            )
        self._is_log_behind = is_behind
        if not is_behind and self._holding.next_offset >= log_end:
            self._holding.caught_up.set()

    async def _recover(self, first_offset: int) -> None:
        _reads.add(1, {"outcome": "truncated"})
        try:
            is_recovered = await self._recovery.recover(first_offset)
        except (log.LogUnavailableError, log.AppendUnknownError) as error:
            self._logger.warning("log_unavailable", detail=str(error))
            is_recovered = False
        if not is_recovered:
            await self._clock.sleep_ms(_RETRY_MS)

    @mode.Service.task
    async def _ask_peers(self) -> None:
        """Asks peers often while the log is silent, and rarely otherwise.

        Rarely is for a log that answers but lies behind: begun anew, it
        would look whole to a fresh instance, and only peers know better.
        """
        if self._spread is None:
            return
        started_ms = self._clock.now_ms()
        next_compare_ms = started_ms + _FIRST_COMPARE_MS
        while not self.should_stop:
            await self._clock.sleep_ms(_SPREAD_MS)
            now_ms = self._clock.now_ms()
            heard_ms = started_ms if self._heard_ms is None else self._heard_ms
            is_silent = now_ms - heard_ms > self._wait_ms + _SILENCE_GRACE_MS
            if is_silent:
                await self._spread.catch_up()
            elif now_ms >= next_compare_ms:
                next_compare_ms = now_ms + _COMPARE_MS
                await self._spread.catch_up(peer_count=1)
