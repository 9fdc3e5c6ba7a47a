"""A follower's link to its leader: what it hears, what it asks."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import itertools

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import decisions
from jujubewharf.forwarding import fingerprints
from jujubewharf.forwarding import places as all_places
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import runs
from jujubewharf.leadership import account_feed
from jujubewharf.leadership import feeds as all_feeds
from jujubewharf.leadership import knowledge as all_knowledge
from jujubewharf.leadership import packing
from jujubewharf.peers import crash_messages
from jujubewharf.peers import leader_messages
from jujubewharf.peers import limit_messages
from jujubewharf.peers import link as links
from jujubewharf.peers import messages
from jujubewharf.peers import network
from jujubewharf.peers import quota_messages
from jujubewharf.platform import tables

# A leader tells how far it has read twice a second. After three that are
# missing it is taken for gone, and what it was asked is done without it.
BEAT_MS = 500.0
SILENT_MS = 1_700.0
# While an answer is awaited the leader is asked this often whether it is there,
# and taken for gone without a word for the second time: so a request that waits
# loses half a second to a frozen leader, which most targets allow.
_CHECK_MS = 150.0
_CHECKED_WITHIN_MS = 350.0
# A request that needs the leader's leave waits so long for it, be it a permit
# of an endpoint that names a limit: another endpoint may serve it sooner, and
# the targets of plain requests are some tenths of a second.
_GRANTED_WITHIN_MS = 100.0
# A whole configuration is some tens of kilobytes, over links of some Mbit/s.
_FETCHED_WITHIN_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Feeds:
    """What a leader tells of the store's tables, and of accounts' use."""

    configurations: all_feeds.Feed[routes.RoutingConfiguration | None]
    endpoints: all_feeds.Feed[resources.Endpoint]
    accounts: account_feed.AccountFeed


class LeaderLink:
    """An open link to the leader.

    Args:
        feeds: Learn what the leader has read.
        registry: Tells engines by their names.
        work: What this instance has observed of costs.
        knowledge: What all instances must know alike.
        endpoints_end: Tells how far this instance has read endpoints.
        clock: Time.

    Attributes:
        instances: Instances that the leader has, itself included.
        on_account_parts: Told which part of each account's use comes here.
    """

    def __init__(
        self,
        feeds: Feeds,
        registry: registries.Registry,
        work: costs.WorkCosts,
        knowledge: all_knowledge.Knowledge,
        endpoints_end: Callable[[], int],
        clock: clocks.Clock,
    ) -> None:
        self._endpoints_end = endpoints_end
        self.instances: int | None = None
        self.on_account_parts: Callable[[dict[str, float]], None]
        self.on_account_parts = lambda parts: None
        self._feeds = feeds
        self._registry = registry
        self._work = work
        self._knowledge = knowledge
        self._clock = clock
        self._link: links.Link | None = None
        self._numbers = itertools.count(1)

    @property
    def is_open(self) -> bool:
        """Whether the leader may be asked."""
        return self._link is not None and not self._link.is_closed

    async def run(self, link: links.Link) -> None:
        """Follows a leader until the link ends or falls silent."""
        self._link = link
        self.forget()
        link.tell(leader_messages.Following(self._endpoints_end()))
        for known in self._knowledge.greeting():
            link.tell(known)
        report = self._work.report()
        if report.count:
            link.tell(
                leader_messages.CostsObserved(
                    report.readings,
                    report.prefill_ms,
                    report.answers,
                    report.decode_ms,
                )
            )
        running = asyncio.ensure_future(link.run())
        try:
            while not running.done():
                await asyncio.wait([running], timeout=BEAT_MS / clocks.MS_PER_S)
                if self._clock.now_ms() - link.last_heard_ms > SILENT_MS:
                    break
        finally:
            link.close()
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            self._link = None
            self.instances = None

    def forget(self) -> None:
        """Relies no longer on what a leader has told."""
        self._feeds.configurations.begin()
        self._feeds.endpoints.begin()
        self._feeds.accounts.begin()

    async def handle(
        self, peer: str, message: messages.Message
    ) -> messages.Message | None:
        """Takes what the leader tells."""
        match message:
            case leader_messages.StoreSeen():
                self._seen(message)
            case leader_messages.ConfigurationNews(packed=bytes() as packed):
                news = packing.unpack(packed)
                if news is None:
                    news = dataclasses.replace(message, packed=None)
                await self.handle(peer, news)
            case leader_messages.ConfigurationNews(configuration=None):
                self._feeds.configurations.take_unsent(
                    message.offset, message.end
                )
            case leader_messages.ConfigurationNews():
                record: tables.TableRecord[routes.RoutingConfiguration | None]
                record = tables.TableRecord(
                    message.key, message.offset, message.configuration
                )
                self._feeds.configurations.take([record], message.end)
            case quota_messages.AccountsLeft(accounts=left):
                self._feeds.accounts.told(left)
            case quota_messages.AccountParts():
                self.on_account_parts(message.by_account)
            case limit_messages.TermsKnown() | crash_messages.CrashesKnown():
                self._knowledge.told_by_leader(message)
            case leader_messages.EndpointNews():
                records = [_table_record(r) for r in message.records]
                self._feeds.endpoints.take(records, message.end)
        return None

    def _seen(self, seen: leader_messages.StoreSeen) -> None:
        self.instances = seen.instances
        self._feeds.configurations.confirm(
            seen.configuration_end, age_ms=seen.configuration_age_ms
        )
        self._feeds.endpoints.confirm(
            seen.endpoints_end, age_ms=seen.endpoints_age_ms
        )

    async def fetch_configuration(self) -> bool:
        """Has the leader send the newest configuration, however large.

        Returns:
            Whether it came.
        """
        link = self._link
        if link is None:
            return False
        question = leader_messages.ConfigurationAsk()
        try:
            news = await link.ask(question, timeout_ms=_FETCHED_WITHIN_MS)
        except network.PeerError:
            return False
        if not isinstance(news, leader_messages.ConfigurationNews):
            return False
        await self.handle(link.peer, news)
        return news.configuration is not None

    async def permit(self, endpoint: str) -> float | None:
        """Asks the leader whether an endpoint's limit allows a request.

        Returns:
            0 where it does, else the time in ms until it is worth to ask
            again; ``None`` where the leader didn't answer.
        """
        answer = await self._granted(limit_messages.PermitAsk(endpoint))
        if not isinstance(answer, limit_messages.Permit):
            return None
        return answer.wait_ms

    async def trial(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Asks the leader to let one try of a request through.

        Returns:
            Whether it does; no where it didn't answer.
        """
        answer = await self._granted(crash_messages.TrialAsk(fingerprint))
        return isinstance(answer, crash_messages.Trial) and answer.is_granted

    async def _granted(
        self, question: messages.Message
    ) -> messages.Message | None:
        """The leader's word on what a request must not wait for long."""
        if self._link is None:
            return None
        try:
            return await self._link.ask(question, timeout_ms=_GRANTED_WITHIN_MS)
        except network.PeerError:
            return None

    def tell(self, message: messages.Message) -> None:
        """Tells the leader something, if there is one."""
        if self._link is not None:
            self._link.tell(message)

    @contextlib.asynccontextmanager
    async def place(
        self, run: runs.Run
    ) -> AsyncIterator[all_places.Place | None]:
        """Has the leader find memory, and holds it for the block.

        Yields:
            ``None`` where the leader didn't answer, or named an engine that
            isn't known here.

        Raises:
            WharfError: There is none.
        """
        number = next(self._numbers)
        place: all_places.Place | None = None
        is_whole = False
        try:
            place = await self._ask(number, run)
            yield place
            is_whole = True
        finally:
            is_hold_used = place is not None and place.take_hold() is None
            self.tell(
                leader_messages.PlaceEnded(number, is_whole, is_hold_used)
            )

    async def _ask(self, number: int, run: runs.Run) -> all_places.Place | None:
        began_ms = self._clock.now_ms()
        link = self._link
        if link is None:
            return None
        try:
            answer = await self._answer(link, number, run)
        except network.PeerError as error:
            decisions.placed_alone(run, error.fault.value, leader=error.peer)
            return None
        waited_ms = self._clock.now_ms() - began_ms
        match answer:
            case leader_messages.Placed():
                # The leader has counted it.
                run.is_counted = True
                place = self._place(number, answer)
                if place is None:
                    decisions.placed_alone(
                        run, "unknown_engine", leader=link.peer
                    )
                    return None
                decisions.placed(
                    run,
                    answer.engine,
                    tokens=answer.tokens,
                    free_tokens=0,
                    waited_ms=waited_ms,
                )
                return place
            case leader_messages.NotPlaced():
                raise self._refusal(run, answer, waited_ms, leader=link.peer)
            case _:
                decisions.placed_alone(run, "not_understood", leader=link.peer)
                return None

    async def _answer(
        self, link: links.Link, number: int, run: runs.Run
    ) -> messages.Message:
        """The leader's answer, while it is seen to be there.

        Requests wait in its line for as long as they can meet their target. A
        leader that is frozen or cut off would cost them that time, and then
        they would only begin to look for memory by themselves.

        Raises:
            PeerError: The leader has fallen silent, or refuses.
        """
        left_ms = max(1.0, run.left_ms(self._clock))
        question = self._question(number, run)
        asking = asyncio.ensure_future(link.ask(question, timeout_ms=left_ms))
        every_s = _CHECK_MS / clocks.MS_PER_S
        try:
            while not (await asyncio.wait([asking], timeout=every_s))[0]:
                still = leader_messages.StillThere()
                await link.ask(still, timeout_ms=_CHECKED_WITHIN_MS)
        except network.PeerError:
            link.close()
            raise
        finally:
            asking.cancel()
            # It may have failed with the link as well; nobody else looks.
            await asyncio.gather(asking, return_exceptions=True)
        return asking.result()

    def _question(self, number: int, run: runs.Run) -> leader_messages.PlaceAsk:
        work = run.call.work
        backoffs_ms = self._knowledge.restraints.backoffs_ms()
        return leader_messages.PlaceAsk(
            number=number,
            request_id=run.call.request_id,
            domain=run.domain,
            route=run.route.name,
            service=run.service,
            waited_ms=self._clock.now_ms() - run.call.arrived_ms,
            left_ms=run.left_ms(self._clock),
            patience_ms=run.call.patience_ms,
            may_have_run=run.may_have_run,
            lost_by=tuple(sorted(run.lost_by)),
            prompt_tokens=None if work is None else work.prompt_tokens,
            output_tokens=0 if work is None else work.output_tokens,
            expected_tokens=None if work is None else work.expected_tokens,
            account=run.call.account,
            is_counted=run.is_counted,
            backoffs=tuple(
                leader_messages.EngineBackoff(engine, for_ms)
                for engine, for_ms in backoffs_ms.items()
            ),
        )

    def _place(
        self, number: int, placed: leader_messages.Placed
    ) -> all_places.Place | None:
        engine = self._registry.get(placed.engine)
        if engine is None:
            # Registered so lately that this instance hasn't heard of it, or
            # left since.
            return None
        place = all_places.Place(
            engine,
            placed.hold,
            since_ms=self._clock.now_ms(),
            tokens=placed.tokens,
            memory_part=placed.memory_part,
            has_permit=placed.has_permit,
        )
        known = [self._registry.get(name) for name in placed.readers]
        place.readers = [reader for reader in known if reader is not None]
        place.reading_ended = lambda: self.tell(
            leader_messages.ReadingEnded(number)
        )
        return place

    def _refusal(
        self,
        run: runs.Run,
        answer: leader_messages.NotPlaced,
        waited_ms: float,
        *,
        leader: str,
    ) -> errors.WharfError:
        decisions.refused_by_leader(
            run,
            leader=leader,
            waited_ms=waited_ms,
            come_back_ms=answer.come_back_ms,
            is_over_quota=answer.is_over_quota,
        )
        if run.may_have_run:
            return run.failure()
        kind = errors.ErrorKind.QUEUE_FULL
        if answer.is_over_quota:
            kind = errors.ErrorKind.RATE_LIMITED
        return errors.WharfError(kind, retry_after_ms=answer.come_back_ms)


def _table_record(
    record: leader_messages.EndpointRecord,
) -> tables.TableRecord[resources.Endpoint]:
    return tables.TableRecord(
        record.key, record.offset, record.endpoint, record.is_unreadable
    )
