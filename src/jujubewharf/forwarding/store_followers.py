"""Followers of the store's tables, fed by the leader or by the store itself."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import TypeVar

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.forwarding import follower
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import settings as all_settings
from jujubewharf.leadership import feeds
from jujubewharf.leadership import fleet as fleets
from jujubewharf.platform import availability as availabilities
from jujubewharf.platform import epochs
from jujubewharf.platform import tables

T = TypeVar("T")
OnPage = Callable[[tables.TablePage[T], bool], None]
_Configuration = routes.RoutingConfiguration | None

# Long-poll timeout of configuration reads, as a share of the time within which
# a change must be in force. A change that arrives just as a read begins is
# returned only when the read times out, so the timeout must be well below that
# time. With a longer timeout than that, a new route was still refused 2.2 s
# after it was acknowledged, where 2 s were allowed.
_CONFIGURATION_WAIT_SHARE = 0.5
# The same for the leader. Its followers count its last read as theirs, with the
# time until its next heartbeat added.
_LEADER_CONFIGURATION_WAIT_SHARE = 0.4
# Polling interval of endpoint reads, as a share of the time within which an
# endpoint that drains must get no more work. Endpoints write all the time, so a
# long poll would return at once. Allows two reads in that time, and the calls
# themselves.
_ENDPOINT_PAUSE_SHARE = 0.4
# The same for the leader, which reads on behalf of all instances.
_LEADER_ENDPOINT_PAUSE_SHARE = 0.2
# Longest pause after failed reads, as a share of the same times. The rest is
# for the read that follows.
_RETRY_SHARE = 0.5


def new_configuration_follower(
    table: tables.Table[_Configuration],
    fleet: fleets.Fleet,
    store: all_settings.StoreSettings,
    epoch: epochs.StoreEpoch,
    clock: clocks.Clock,
    rng: random.Random,
    availability: availabilities.StoreAvailability,
    *,
    on_page: OnPage[_Configuration],
) -> follower.TableFollower[_Configuration]:
    """Creates the follower of the routing configurations.

    Args:
        table: Table of configurations.
        fleet: Link to the leader or the followers.
        store: Settings of the store.
        epoch: Epoch of the store.
        clock: Time source.
        rng: Jitter of the pauses.
        availability: Shared by all tables of the instance.
        on_page: Called with each page and whether it is the whole table.
    """
    feed = fleet.feeds.configurations

    def max_wait_ms() -> float:
        share = (
            _LEADER_CONFIGURATION_WAIT_SHARE
            if fleet.is_leading
            else _CONFIGURATION_WAIT_SHARE
        )
        return store.in_force_within_ms * share

    pace = follower.PollIntervals(
        wait_ms=store.in_force_within_ms * _CONFIGURATION_WAIT_SHARE,
        pause_ms=0.0,
        max_retry_ms=store.in_force_within_ms * _RETRY_SHARE,
    )
    return follower.TableFollower(
        "configuration",
        feeds.LeaderTable(table, feed, clock, max_wait_ms=max_wait_ms),
        pace,
        epoch,
        clock,
        rng,
        on_page=on_page,
        is_watched=lambda: feed.is_fresh,
        availability=availability,
    )


def new_endpoint_follower(
    table: tables.Table[resources.Endpoint],
    fleet: fleets.Fleet,
    store: all_settings.StoreSettings,
    epoch: epochs.StoreEpoch,
    clock: clocks.Clock,
    rng: random.Random,
    availability: availabilities.StoreAvailability,
    *,
    on_page: OnPage[resources.Endpoint],
    on_lost: Callable[[], None],
) -> follower.TableFollower[resources.Endpoint]:
    """Creates the follower of the endpoint registrations.

    Args:
        table: Table of endpoint registrations.
        fleet: Link to the leader or the followers.
        store: Settings of the store.
        epoch: Epoch of the store.
        clock: Time source.
        rng: Jitter of the pauses.
        availability: Shared by all tables of the instance.
        on_page: Called with each page and whether it is the whole table.
        on_lost: Called when the store is unreachable.
    """
    feed = fleet.feeds.endpoints

    def keys_digest() -> int | None:
        if fleet.followers is None:
            return None
        return fleet.followers.endpoint_keys_digest

    def pause_ms() -> float:
        share = (
            _LEADER_ENDPOINT_PAUSE_SHARE
            if fleet.is_leading
            else _ENDPOINT_PAUSE_SHARE
        )
        return store.leaving_within_ms * share

    pace = follower.PollIntervals(
        wait_ms=store.leaving_within_ms * _ENDPOINT_PAUSE_SHARE,
        pause_ms=0.0,
        max_retry_ms=store.leaving_within_ms * _RETRY_SHARE,
    )
    return follower.TableFollower(
        "endpoints",
        feeds.LeaderTable(table, feed, clock, pause_ms=pause_ms),
        pace,
        epoch,
        clock,
        rng,
        on_page=on_page,
        on_lost=on_lost,
        is_watched=lambda: feed.is_fresh,
        availability=availability,
        keys_digest=keys_digest,
        request_read=feed.require_store_read,
    )
