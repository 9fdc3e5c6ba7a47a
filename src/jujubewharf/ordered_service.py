"""Services with several background tasks, which start in a fixed order."""

from __future__ import annotations

from collections.abc import Iterable

import mode
from mode.services import ServiceTask


class OrderedService(mode.Service):
    """A service whose tasks start in the order of their names.

    ``mode`` keeps the names in a set, whose order changes with each process:
    equal histories would then send messages in different orders.
    """

    def _get_tasks(self) -> Iterable[ServiceTask]:
        return sorted(super()._get_tasks(), key=lambda task: task.fun.__name__)
