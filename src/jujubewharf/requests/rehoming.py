"""Copies the records of this instance's keys to new homes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

import mode

from jujubewharf import clock as clocks
from jujubewharf.membership import view as views
from jujubewharf.requests import answer_cache
from jujubewharf.requests import keys

_DELAY_MS = 500.0
_RECORDS_PER_TURN = 50


class Rehoming(mode.Service):
    """Copies records when the membership or an incarnation changes.

    The owner of an answer has the most recent record, so it replaces lost
    homes. The homes don't copy records among themselves.

    Args:
        homes: Key records and their home instances.
        homes_of: Homes that have each key's record; updated here.
        own_records: Returns the records of answers that run or are cached here.
        membership: Instances that are present.
        clock: Source of time.
    """

    def __init__(
        self,
        homes: keys.KeyHomes,
        homes_of: dict[bytes, list[keys.HomeProcess]],
        own_records: Callable[[], Iterable[keys.KeyRecord]],
        membership: views.MembershipView,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._homes = homes
        self._homes_of = homes_of
        self._own_records = own_records
        self._clock = clock
        self._changed = asyncio.Event()
        membership.listen(self.wake)

    def wake(self) -> None:
        """Signals that the homes of keys may have changed."""
        self._changed.set()

    @mode.Service.task
    async def _copy_records(self) -> None:
        while not self.should_stop:
            await self._changed.wait()
            await self._clock.sleep_ms(_DELAY_MS)
            self._changed.clear()
            for number, record in enumerate(list(self._own_records())):
                await self._copy_record(record)
                if number % _RECORDS_PER_TURN == 0:
                    await asyncio.sleep(0)

    async def _copy_record(self, record: keys.KeyRecord) -> None:
        known_homes = self._homes_of.get(record.key, [])
        homes = self._homes.home_processes(record.key)
        if homes == known_homes:
            return
        self._homes_of[record.key] = homes
        for home in homes:
            if home not in known_homes:
                await self._homes.copy_to(
                    home.instance, record, keep_ms=answer_cache.RETENTION_MS
                )
