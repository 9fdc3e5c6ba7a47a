"""Tasks that start again after a failure."""

from __future__ import annotations

import mode

from jujubewharf import clock as clocks
from jujubewharf import restarting_service
from jujubewharf.experiments import virtual_time


class _Counting(restarting_service.RestartingService):
    """Fails in its second round."""

    def __init__(self, clock: clocks.Clock) -> None:
        super().__init__(clock)
        self.rounds = 0

    @mode.Service.task
    async def _count(self) -> None:
        while not self.should_stop:
            self.rounds += 1
            if self.rounds == 2:
                raise OverflowError("second round")
            await self._clock.sleep_ms(100.0)


class _Parent(mode.Service):
    def __init__(self, child: mode.Service) -> None:
        super().__init__()
        self._child = child

    async def on_start(self) -> None:
        await self.add_runtime_dependency(self._child)


def test_task_that_fails_costs_one_round():
    """A failure in one service's task ended the process, and all requests."""

    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        child = _Counting(clock)
        parent = _Parent(child)
        await parent.start()
        await clock.sleep_ms(restarting_service.RESTART_PAUSE_MS / 2)
        assert child.rounds == 2
        await clock.sleep_ms(restarting_service.RESTART_PAUSE_MS)
        assert child.rounds > 2
        assert not child.crashed
        assert not parent.crashed
        await parent.stop()
        rounds = child.rounds
        await clock.sleep_ms(5_000.0)
        assert child.rounds == rounds

    virtual_time.run(main())


class _Ordered(restarting_service.RestartingService):
    def __init__(self, clock: clocks.Clock) -> None:
        super().__init__(clock)
        self.begun: list[str] = []

    @mode.Service.task
    async def _one(self) -> None:
        self.begun.append("one")

    @mode.Service.task
    async def _two(self) -> None:
        self.begun.append("two")

    @mode.Service.task
    async def _four(self) -> None:
        self.begun.append("four")


# The order of a set of names decided, so that runs of one seed differed between
# processes.
def test_tasks_begin_in_the_order_of_their_names():
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        service = _Ordered(clock)
        await service.start()
        await clock.sleep_ms(10.0)
        await service.stop()
        assert service.begun == ["four", "one", "two"]

    virtual_time.run(main())
