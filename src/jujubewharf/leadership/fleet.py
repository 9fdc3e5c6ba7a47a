"""One instance's part in leading and following, put together."""

from __future__ import annotations

from collections.abc import Callable
import enum
import random

from jujubewharf import clock as clocks
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import forwarder
from jujubewharf.forwarding import lease as leases
from jujubewharf.forwarding import observations as observed
from jujubewharf.forwarding import placement as placements
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registry as registries
from jujubewharf.leadership import account_feed
from jujubewharf.leadership import feeds as all_feeds
from jujubewharf.leadership import followers as all_followers
from jujubewharf.leadership import knowledge as all_knowledge
from jujubewharf.leadership import leader_link
from jujubewharf.leadership import leadership
from jujubewharf.leadership import placement_server as servers
from jujubewharf.peers import counters
from jujubewharf.peers import link_messages
from jujubewharf.peers import messages

# Parts of the times within which a change must count, up to which a leader's
# reading is taken for this instance's own: what is left must do for a reading
# of its own when the leader falls silent.
_CONFIGURATION_PART = 0.75
_ENDPOINTS_PART = 0.5
# Mean stays of an answer after which nearly all that ran before have ended.
_ENDED_AFTER_STAYS = 2.0


class Role(enum.Enum):
    """Who counts what the fleet shares."""

    LEADING = "leading"
    FOLLOWING = "following"
    ALONE = "alone"


class Fleet:
    """What an instance knows of its leader, or of its followers.

    Args:
        registry: Tells engines by their names.
        work: What this instance has observed of costs.
        knowledge: What all instances must know alike.
        endpoints_end: Tells how far this instance has read endpoints.
        clock: Time.
        in_force_within_ms: Time within which a configuration must be in force.
        leaving_within_ms: Time after which an endpoint that leaves may get no
            more work.
        count_within_ms: Time for which followers count after their links ended.

    Attributes:
        feeds: What the leader tells of the store.
        link: The link to the leader.
        followers: Those who follow this instance; ``None`` where it can't lead.
    """

    def __init__(
        self,
        registry: registries.Registry,
        work: costs.WorkCosts,
        knowledge: all_knowledge.Knowledge,
        endpoints_end: Callable[[], int],
        clock: clocks.Clock,
        *,
        in_force_within_ms: float,
        leaving_within_ms: float,
        count_within_ms: float,
    ) -> None:
        self._clock = clock
        self._work = work
        self._knowledge = knowledge
        self._count_within_ms = count_within_ms
        self.feeds = leader_link.Feeds(
            all_feeds.Feed(
                clock,
                fresh_ms=in_force_within_ms * _CONFIGURATION_PART,
            ),
            all_feeds.Feed(
                clock,
                fresh_ms=leaving_within_ms * _ENDPOINTS_PART,
            ),
            account_feed.AccountFeed(clock),
        )
        self.link = leader_link.LeaderLink(
            self.feeds, registry, work, knowledge, endpoints_end, clock
        )
        self.feeds.configurations.fetch = self.link.fetch_configuration
        self.followers: all_followers.Followers | None = None
        self._counted: int | None = None
        self._counted_ms = 0.0

    @property
    def is_leading(self) -> bool:
        """Whether this instance leads."""
        return self.followers is not None and self.followers.is_leading

    @property
    def role(self) -> Role:
        """Whether this instance leads, follows or is alone."""
        if self.is_leading:
            return Role.LEADING
        return Role.FOLLOWING if self.link.is_open else Role.ALONE

    def tell(self, message: messages.Message) -> None:
        """Tells the followers something, or the leader.

        Nobody where there is neither: each side of a link that begins tells all
        that it knows.
        """
        match self.role:
            case Role.LEADING:
                assert self.followers is not None
                self.followers.tell_all(message)
            case Role.FOLLOWING:
                self.link.tell(message)
            case Role.ALONE:
                pass

    @property
    def instances(self) -> int | None:
        """Instances that are led together; ``None`` for one without leader."""
        if self.is_leading:
            assert self.followers is not None
            return self.followers.instances
        return self.link.instances

    @property
    def counts_all(self) -> bool:
        """Whether this instance has placed all that engines hold now.

        A new leader doesn't know what was placed before it led until that has
        ended; and nobody knows how long that takes before it was observed.
        """
        stay_ms = self._work.stay_ms
        if self.followers is None or stay_ms is None:
            return False
        return self.followers.led_ms > stay_ms * _ENDED_AFTER_STAYS

    def retry_share(self, window_ms: float) -> float:
        """Part of the fleet's retries that this instance may make, 0 to 1.

        The leader counts its followers, those that it lost within the window
        too. Without it an instance keeps its share for so long; after that it
        has none, since those that are left may have all of it by then.

        Args:
            window_ms: Time over which retries are counted.
        """
        share = self.equal_share()
        if self._clock.now_ms() - self._counted_ms > window_ms:
            return 0.0
        return share

    def equal_share(self) -> float:
        """This instance's part among all that were counted last, 0 to 1.

        0 for one that has never had a leader.
        """
        instances = self.instances
        if instances is not None:
            self._counted = instances
            self._counted_ms = self._clock.now_ms()
        return 0.0 if self._counted is None else 1.0 / self._counted

    def new_leadership(
        self,
        name: str,
        domain: str,
        peers: ports.PeerAdapters,
        lease: leases.GroupLease,
        new_placement_server: servers.NewPlacementServer,
        rng: random.Random,
        *,
        cores: float,
    ) -> leadership.Leadership:
        """The service that elects, leads and follows.

        Args:
            name: Name of this instance.
            domain: Its failure domain.
            peers: Reaches other instances.
            lease: The right to lead.
            new_placement_server: Makes the server of one follower.
            rng: Spreads elections.
            cores: Usual cores that this instance's processor is worth.
        """
        hello = link_messages.Hello(
            name, domain, peers.address, rng.getrandbits(_INCARNATION_BITS)
        )
        counts = counters.PeerCounters()
        self.followers = all_followers.Followers(
            hello,
            new_placement_server,
            counts,
            self._clock,
            self._knowledge,
            count_within_ms=self._count_within_ms,
        )
        return leadership.Leadership(
            peers.leaders,
            peers.transport,
            hello,
            self.followers,
            self.link,
            lease,
            counts,
            self._clock,
            rng,
            cores=cores,
        )


# Two starts under one name never draw the same.
_INCARNATION_BITS = 48


def new_placement_server_of(
    places: placements.Placement,
    observations: observed.Observations,
    source: forwarder.RouteSource,
    fleet_costs: costs.ReportedCosts,
    quotas: servers.FollowerQuotas,
    limits: servers.FollowerLimits,
    crashes: servers.FollowerCrashes,
    clock: clocks.Clock,
) -> servers.NewPlacementServer:
    """Makes a server for each follower that comes."""
    return lambda peer, tell: servers.PlacementServer(
        places,
        observations,
        source,
        fleet_costs,
        quotas,
        limits,
        crashes,
        clock,
        use=quotas.follower(peer, tell),
    )
