"""Which parts that decide in overload are active for which service, and why.

Classes and accounts follow the configuration, the queue of plain calls follows
the load reports, and the ranks by speed follow observed speeds. All but the
last can be switched off by settings.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum

from jujubewharf.forwarding import routes


class Part(enum.Enum):
    """A part that decides in overload."""

    CLASSES = "classes"
    ACCOUNTS = "accounts"
    PLAIN_QUEUE = "plain_queue"
    ENGINE_SPEEDS = "engine_speeds"


@dataclasses.dataclass(frozen=True, slots=True)
class PartState:
    """Whether a part is active for a service.

    Attributes:
        is_active: Whether it is.
        reason: Why or why not.
    """

    is_active: bool
    reason: str


PartStates = Mapping[tuple[str, Part], PartState]


@dataclasses.dataclass(frozen=True, slots=True)
class Switches:
    """What settings switch on and off.

    Attributes:
        is_ordered: Whether classes and accounts are told apart.
        has_plain_queue: Whether plain calls may wait in the router.
    """

    is_ordered: bool = True
    has_plain_queue: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """What an instance observes.

    Attributes:
        reports_load: Returns whether a plain service's endpoints report load.
        speeds_differ: Returns whether the speeds of a service's engines differ.
    """

    reports_load: Callable[[str], bool]
    speeds_differ: Callable[[str], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfiguredService:
    """What the configuration says of a service.

    Attributes:
        name: Name of the service.
        is_model: Whether it has engines.
        has_several_priorities: Whether its requests may differ in priority.
        has_several_accounts: Whether several accounts may use it.
    """

    name: str
    is_model: bool
    has_several_priorities: bool
    has_several_accounts: bool


def configured_services(
    configuration: routes.RoutingConfiguration,
) -> list[ConfiguredService]:
    """Returns what a configuration says of each service."""
    accounts = configuration.accounts or ()
    own = {a.priority for a in accounts}
    # Callers without a priority of their own have that of the route.
    follows_route = not accounts or None in own
    own.discard(None)
    priorities: dict[str, set[int | None]] = {
        name: set(own) for name in configuration.services
    }
    for route in configuration.routes:
        if not (follows_route or route.is_public):
            continue
        for share in route.shares:
            if share.service in priorities:
                priorities[share.service].add(route.priority)
    return [
        ConfiguredService(
            name,
            service.engine is not None,
            len(priorities[name]) > 1,
            len(accounts) > 1,
        )
        for name, service in sorted(configuration.services.items())
    ]


def states_of(
    service: ConfiguredService, switches: Switches, observed: Observed
) -> Iterator[tuple[Part, PartState]]:
    """Yields the states of the parts that concern a service."""
    is_queued = service.is_model
    if not service.is_model:
        queue = _plain_queue(service, switches, observed)
        is_queued = queue.is_active
        yield Part.PLAIN_QUEUE, queue
    for part, is_needed, several, one in (
        (
            Part.CLASSES,
            service.has_several_priorities,
            "several_priorities",
            "one_priority",
        ),
        (
            Part.ACCOUNTS,
            service.has_several_accounts,
            "several_accounts",
            "one_account",
        ),
    ):
        if not switches.is_ordered:
            yield part, PartState(False, "switched_off")
        elif not is_queued:
            yield part, PartState(False, "no_queue")
        else:
            yield part, PartState(is_needed, several if is_needed else one)
    if service.is_model:
        differ = observed.speeds_differ(service.name)
        reason = "speeds_differ" if differ else "speeds_equal"
        yield Part.ENGINE_SPEEDS, PartState(differ, reason)


def _plain_queue(
    service: ConfiguredService, switches: Switches, observed: Observed
) -> PartState:
    if not switches.has_plain_queue:
        return PartState(False, "switched_off")
    if observed.reports_load(service.name):
        return PartState(True, "endpoints_report_load")
    return PartState(False, "no_load_reports")
