"""Services whose background tasks start again after a failure."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

import mode
from mode.services import ServiceTask

from jujubewharf import clock as clocks
from jujubewharf.telemetry import containment

# Short enough to go on within the limits of most rules, long enough that a task
# that always fails takes no processor time.
RESTART_PAUSE_MS = 1_000.0


class RestartingService(mode.Service):
    """A service whose tasks start again after a failure.

    With ``mode.Service``, a task that fails crashes its service and thereby the
    process, and requests that run lose their connections. Tasks must keep what
    they know in the service, not in local variables.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        super().__init__()
        self._clock = clock

    def _get_tasks(self) -> Iterable[ServiceTask]:
        # The library keeps their names in a set, whose order differs between
        # processes.
        tasks = sorted(super()._get_tasks(), key=_task_name)
        return [ServiceTask(self._restarting(task.fun)) for task in tasks]

    def _restarting(
        self, run_task: Callable[..., Awaitable[object]]
    ) -> Callable[..., Awaitable[object]]:
        async def run(service: mode.Service) -> None:
            while not self.should_stop:
                try:
                    await run_task(service)
                    return
                except Exception as error:
                    name = type(self).__name__
                    containment.report_failure("task", error, service=name)
                await self._clock.sleep_ms(RESTART_PAUSE_MS)

        return run


def _task_name(task: ServiceTask) -> str:
    return task.fun.__name__
