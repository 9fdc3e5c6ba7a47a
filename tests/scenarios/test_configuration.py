"""Steps of ``configuration.feature``."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import itertools

import msgpack
import pytest
import pytest_bdd
from pytest_bdd import parsers

from jujubewharf import errors
from jujubewharf.configuration import checkpoints
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.configuration import snapshot as snapshots
from jujubewharf.configuration import state as states
from tests.configuration import builders
from tests.scenarios import steps

pytest_bdd.scenarios("configuration.feature")

UNREACHABLE_URL = "http://127.0.0.1:9"
NEWER_RECORD = msgpack.packb({"schema_version": 9, "quota": "à"})

SERVICE = resources.Service("till", resources.ServiceKind.PLAIN)


def _endpoint(name: str, slots: int) -> resources.Endpoint:
    plain = resources.Role.PLAIN
    return builders.engine(name, service="till", role=plain, slots=slots)


class Fleet(steps.World):
    """The world, the accepted changes and the observed state updates."""

    def __init__(self) -> None:
        super().__init__()
        self.slots: dict[str, int] = {}
        self.slots_before_cut: dict[str, int] = {}
        self.race_verdicts: list[states.Verdict] = []
        self.last_operation = ""
        self.regressed_instances: list[str] = []
        self._change_numbers = itertools.count(1)
        self._offsets: dict[int, int] = {}
        self._retention_ms = 0.0

    def keep_records(self, retention_ms: float) -> None:
        self._retention_ms = retention_ms
        self.bench.log.retention_ms = retention_ms

    async def start(self, name: str) -> None:
        platform = {
            "log_url": UNREACHABLE_URL,
            "live_list_url": UNREACHABLE_URL,
            "weight_store_url": UNREACHABLE_URL,
            "log_retention_ms": self._retention_ms,
            "live_list_poll_ms": 4_000,
        }
        # Slow heartbeats, because these scenarios simulate minutes.
        peers = {"heartbeat_ms": 2_000, "suspect_after_ms": 7_000}
        await self.bench.start_instance(
            name, name[0], settings={"platform": platform, "peers": peers}
        )
        self._watch(name)

    async def restart(self, name: str) -> None:
        await self.bench.restart_instance(name)
        self._watch(name)

    async def submit(self, name: str) -> states.Verdict:
        """Submits a change of an endpoint to an instance."""
        number = next(self._change_numbers)
        self.last_operation = f"change-{number}"
        change = builders.put(
            _endpoint("e1", number), operation_id=self.last_operation
        )
        core = self.bench.instances[name].core
        verdict = (await core.changes.submit([change]))[0]
        if verdict.is_accepted:
            self.slots["e1"] = number
        return verdict

    def has_slots(self, name: str, slots: dict[str, int]) -> bool:
        follower = self.bench.instances[name].core.configuration
        if not follower.caught_up.is_set():
            return False
        for endpoint, wanted in slots.items():
            entry = follower.current.get(resources.Kind.ENDPOINT, endpoint)
            if entry is None or entry.resource.slots != wanted:
                return False
        return True

    def all_up_to_date(self) -> bool:
        return all(self.has_slots(name, self.slots) for name in self.names)

    @property
    def names(self) -> list[str]:
        return sorted(self.bench.instances)

    def state(self, name: str) -> states.State:
        return self.bench.instances[name].core.configuration.current

    def _watch(self, name: str) -> None:
        follower = self.bench.instances[name].core.configuration
        seen = {"offset": 0}

        def check(state: states.State) -> None:
            if state.next_offset <= seen["offset"]:
                self.regressed_instances.append(name)
            seen["offset"] = state.next_offset

        follower.listen(check)


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    fleet = Fleet()
    yield fleet
    fleet.close()


@pytest_bdd.given(
    parsers.parse("a log that keeps records for {kept_s:d} seconds")
)
def retention(fleet, kept_s):
    fleet.keep_records(kept_s * 1_000)


@pytest_bdd.given("2 instances in each of the domains a, b and c")
def domains(fleet):
    for name in ("a1", "a2", "b1", "b2", "c1", "c2"):
        fleet.run(fleet.start(name))
    fleet.wait_s(8)


@pytest_bdd.given("a plain service and two endpoints")
def pool(fleet):
    made = [SERVICE, _endpoint("e1", 20), _endpoint("e2", 20)]
    changes = fleet.bench.instances["a1"].core.changes
    submitted = changes.submit([builders.put(one) for one in made])
    assert all(verdict.is_accepted for verdict in fleet.run(submitted))
    fleet.slots = {"e1": 20, "e2": 20}
    fleet.wait_s(10)
    assert fleet.all_up_to_date()


@pytest_bdd.when("the log goes down")
def log_down(fleet):
    fleet.bench.log.is_down = True


@pytest_bdd.when("the log comes back")
def log_back(fleet):
    fleet.bench.log.is_down = False


@pytest_bdd.when("the log is wiped")
def log_wiped(fleet):
    fleet.call_in_loop(fleet.bench.log.wipe)


@pytest_bdd.when(parsers.parse("{duration_s:d} seconds pass"))
def time_passes(fleet, duration_s):
    fleet.wait_s(duration_s)


@pytest_bdd.when(parsers.re(r"(?P<name>[abc]\d) restarts"))
def restarts(fleet, name):
    fleet.run(fleet.restart(name))


@pytest_bdd.when("all instances are replaced one by one")
def replace_one_by_one(fleet):
    for name in fleet.names:
        fleet.run(fleet.restart(name))
        fleet.wait_s(8)


@pytest_bdd.when("all instances are replaced at once")
def replace_at_once(fleet):
    for name in fleet.names:
        fleet.call_in_loop(lambda name=name: fleet.bench.kill_instance(name))
    for name in fleet.names:
        fleet.run(fleet.restart(name))
    fleet.wait_s(8)


@pytest_bdd.when(parsers.parse("a change at {name} is accepted"))
def accepted(fleet, name):
    assert fleet.run(fleet.submit(name)).is_accepted


@pytest_bdd.when(
    parsers.parse(
        "the log takes a change at {name}, falls and loses the answer"
    )
)
def append_answer_lost(fleet, name):
    fleet.bench.log.fails_after_next_append = True
    with pytest.raises(errors.WharfError) as caught:
        fleet.run(fleet.submit(name))
    assert caught.value.kind is errors.ErrorKind.OPERATION_UNKNOWN


@pytest_bdd.when(
    parsers.parse("the answer to the next append on {stream} is lost")
)
def answer_lost(fleet, stream):
    log = fleet.bench.log
    store = log._store

    def lose_on(kept, payloads):
        if kept is log._streams[stream]:
            log._store = store
            log.lose_answers = 1
        return store(kept, payloads)

    log._store = lose_on


@pytest_bdd.when(parsers.parse("an operator accepts the loss at {name}"))
def accept_loss(fleet, name):
    fleet.call_in_loop(
        fleet.bench.instances[name].core.configuration.accept_loss
    )


@pytest_bdd.when("a record of a newer version is appended")
def newer_record(fleet):
    fleet.run(fleet.bench.log.append(records.STREAM, [NEWER_RECORD]))


@pytest_bdd.when(parsers.parse("domain {domain} is cut off"))
def cut(fleet, domain):
    fleet.slots_before_cut = dict(fleet.slots)
    fleet.call_in_loop(lambda: fleet.bench.cut_domain(domain))


@pytest_bdd.when(parsers.parse("domain {domain} is cut off from the log"))
def cut_from_log(fleet, domain):
    fleet.call_in_loop(lambda: fleet.bench.cut_domain(domain, from_peers=False))


@pytest_bdd.when(parsers.parse("domain {domain} is cut off from peers"))
def cut_from_peers(fleet, domain):
    fleet.call_in_loop(lambda: fleet.bench.cut_domain(domain, from_log=False))


@pytest_bdd.when("the cuts heal")
def heal(fleet):
    fleet.call_in_loop(fleet.bench.heal)


@pytest_bdd.when("a1 and b1 change the same endpoint at once")
def race(fleet):
    kind = resources.Kind.ENDPOINT
    seen = fleet.state("a1").get(kind, "e1").generation

    async def one(name: str, slots: int) -> states.Verdict:
        change = builders.put(_endpoint("e1", slots), expected_generation=seen)
        core = fleet.bench.instances[name].core
        verdict = (await core.changes.submit([change]))[0]
        if verdict.is_accepted:
            fleet.slots["e1"] = slots
        return verdict

    async def both() -> list[states.Verdict]:
        return list(await asyncio.gather(one("a1", 3), one("b1", 4)))

    fleet.race_verdicts = fleet.run(both())


@pytest_bdd.then("one of them wins and the other is told of a conflict")
def one_winner(fleet):
    outcomes = sorted(verdict.outcome.value for verdict in fleet.race_verdicts)
    assert outcomes == ["accepted", "conflict"]
    loser = next(one for one in fleet.race_verdicts if not one.is_accepted)
    winner = next(one for one in fleet.race_verdicts if one.is_accepted)
    assert f"generation is {winner.generation}" in loser.detail


@pytest_bdd.when("changes go on while every instance restarts in turn")
def restart_in_turn(fleet):
    for index, name in enumerate(fleet.names):
        other = fleet.names[index - 1]
        assert fleet.run(fleet.submit(other)).is_accepted
        fleet.run(fleet.restart(name))
        assert fleet.run(fleet.submit(other)).is_accepted
        fleet.wait_s(6)
        assert fleet.all_up_to_date()


@pytest_bdd.then("no instance ever went back")
def no_regressions(fleet):
    assert fleet.regressed_instances == []


@pytest_bdd.then("all hold the accepted changes")
def all_up_to_date(fleet):
    assert fleet.all_up_to_date()


@pytest_bdd.then(
    parsers.parse("within {limit_s:d} seconds all hold the accepted changes")
)
def all_up_to_date_within(fleet, limit_s):
    assert fleet.condition_met_within_s(limit_s, fleet.all_up_to_date)


@pytest_bdd.then(
    parsers.parse("those outside {domain} hold the accepted changes")
)
def others_up_to_date(fleet, domain):
    for name in fleet.names:
        if name[0] != domain:
            assert fleet.has_slots(name, fleet.slots)


@pytest_bdd.then("c1 and c2 hold what was accepted before")
def cut_off_have_old_slots(fleet):
    for name in ("c1", "c2"):
        assert fleet.has_slots(name, fleet.slots_before_cut)


@pytest_bdd.then(parsers.parse("a change at {name} is refused and did not run"))
def refused(fleet, name):
    with pytest.raises(errors.WharfError) as caught:
        fleet.run(fleet.submit(name))
    assert caught.value.kind is errors.ErrorKind.LOG_UNAVAILABLE
    assert caught.value.ran is errors.Ran.NO
    assert fleet.state(name).history.find(fleet.last_operation) is None


@pytest_bdd.then(parsers.parse("a change at {name} is refused or unknown"))
def refused_or_unknown(fleet, name):
    with pytest.raises(errors.WharfError) as caught:
        fleet.run(fleet.submit(name))
    assert caught.value.kind in (
        errors.ErrorKind.LOG_UNAVAILABLE,
        errors.ErrorKind.OPERATION_UNKNOWN,
    )


@pytest_bdd.then("the change stands on the log once")
def appended_once(fleet):
    core = fleet.bench.instances["a1"].core
    found = [
        item
        for item in core.changes.history()
        if item.verdict.operation_id == fleet.last_operation
    ]
    assert len(found) == 1
    # One append for the declaration and one for the change.
    assert fleet.bench.log.appends[records.STREAM] == 2
    assert fleet.bench.log.appends[checkpoints.MANIFEST_STREAM] >= 1


@pytest_bdd.then("all keep the newer record whole")
def unknown_record_kept(fleet):
    for name in fleet.names:
        kept = [record.payload for record in fleet.state(name).unknown_records]
        assert kept == [NEWER_RECORD]


@pytest_bdd.then("all instances at one offset hold one state")
def one_state(fleet):
    fleet.wait_s(10)
    found = {
        (fleet.state(name).next_offset, snapshots.digest(fleet.state(name)))
        for name in fleet.names
    }
    assert len(found) == 1
