"""No two instances may order an engine at the same time.

Otherwise an engine without fencing could end up with an undeclared model. The
simulated instances read the log late, lose append responses, restart, drop old
entries, are partitioned, and pause between the check and the order. Their clock
rates differ, and an order is in flight for up to ``FLIGHT_MS``.
"""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from jujubewharf.orders import ledger
from jujubewharf.orders import records

ENGINE = "decode-1"
LEASE_MS = 20_000.0
HOLDER_MARGIN_MS = 6_000.0
OTHERS_MARGIN_MS = 2_000.0
FLIGHT_MS = 5_000.0
RATES = (0.95, 1.05)


@dataclasses.dataclass
class Reader:
    """One instance: its clock rate, its ledger and the lease it assumes.

    ``sent`` maps the id of each own record to the clock reading of its sending.
    """

    name: str
    rate: float
    others_margin_ms: float
    sent: dict[str, float] = dataclasses.field(default_factory=dict)
    valid_until_ms: float = float("-inf")
    fence: int = -1
    read: ledger.Ledger = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.read = ledger.Ledger(
            margin_ms=self.others_margin_ms, max_lease_ms=LEASE_MS
        )

    def clock_ms(self, true_ms: float) -> float:
        return true_ms * self.rate

    def may_order(self, true_ms: float) -> bool:
        entry = self.read.entry(ENGINE)
        is_current = entry is not None and entry.fence == self.fence
        return is_current and self.clock_ms(true_ms) < self.valid_until_ms


class Leases(stateful.RuleBasedStateMachine):
    """The log, two instances and the orders that are on their way."""

    others_margin_ms = OTHERS_MARGIN_MS
    holder_margin_ms = HOLDER_MARGIN_MS

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.log: list[records.LeaseRecord] = []
        self.numbers = 0
        self.orders: list[tuple[str, int, float]] = []
        self.readers = [
            Reader(f"entry-{i}", rate, self.others_margin_ms)
            for i, rate in enumerate(RATES)
        ]
        for reader in self.readers:
            reader.read.restart(0, 0.0)
        self.now_ms = 2 * LEASE_MS

    @stateful.rule(data=st.data())
    def acts(self, data):
        """One of the actions that are possible now."""
        action, *arguments = data.draw(st.sampled_from(self._possible()))
        getattr(self, action)(*arguments)

    def _possible(self):
        actions = [("time_passes", 1_000), ("time_passes", 20_000)]
        actions.append(("is_replaced", 0))
        for who, reader in enumerate(self.readers):
            if reader.read.next_offset < len(self.log):
                actions.append(("reads", who))
            if reader.read.is_free(ENGINE, reader.clock_ms(self.now_ms)):
                actions.append(("claims", who, "lost"))
                actions.append(("claims", who, "unread"))
                actions.append(("claims", who, "read"))
            if reader.may_order(self.now_ms):
                actions.append(("renews", who))
                actions.append(("gives_order", who))
                actions.append(("releases", who))
        return actions

    def time_passes(self, step_ms):
        self.now_ms += step_ms

    def reads(self, who):
        reader = self.readers[who]
        clock_ms = reader.clock_ms(self.now_ms)
        for offset in range(reader.read.next_offset, len(self.log)):
            record = self.log[offset]
            verdict = reader.read.apply(offset, record, clock_ms)
            sent_ms = reader.sent.get(record.record_id)
            if sent_ms is None or verdict is not ledger.Verdict.ACCEPTED:
                continue
            self._won(reader, offset, record, sent_ms)

    def claims(self, who, outcome):
        lands = outcome != "lost"
        self._append(self.readers[who], records.Verb.CLAIM, -1, lands)
        if outcome == "read":
            self.reads(who)

    def renews(self, who):
        reader = self.readers[who]
        self._append(reader, records.Verb.RENEW, reader.fence, True)
        self.reads(who)

    def releases(self, who):
        reader = self.readers[who]
        has_order_out = any(
            name == reader.name and lands_ms > self.now_ms
            for name, _, lands_ms in self.orders
        )
        if not has_order_out:
            reader.valid_until_ms = float("-inf")
            self._append(reader, records.Verb.RELEASE, reader.fence, True)

    def gives_order(self, who):
        reader = self.readers[who]
        lands_ms = self.now_ms + FLIGHT_MS
        self.orders.append((reader.name, reader.fence, lands_ms))

    def is_replaced(self, who):
        old = self.readers[who]
        fresh = Reader(old.name, old.rate, self.others_margin_ms)
        first = max(0, len(self.log) - 2)
        fresh.read.restart(first, fresh.clock_ms(self.now_ms))
        self.readers[who] = fresh

    @stateful.invariant()
    def one_orders(self):
        under_way = {
            fence
            for _, fence, lands_ms in self.orders
            if lands_ms > self.now_ms
        }
        may_order = {
            reader.fence
            for reader in self.readers
            if reader.may_order(self.now_ms)
        }
        assert len(under_way | may_order) <= 1

    def _won(self, reader, offset, record, sent_ms):
        if record.verb is records.Verb.RELEASE:
            return
        is_claim = record.verb is records.Verb.CLAIM
        reader.fence = offset if is_claim else record.fence
        reader.valid_until_ms = sent_ms + LEASE_MS - self.holder_margin_ms

    def _append(self, reader, verb, fence, lands):
        self.numbers += 1
        record = records.LeaseRecord(
            verb,
            ENGINE,
            reader.name,
            str(self.numbers),
            reader.read.after(ENGINE),
            fence,
            0.0 if verb is records.Verb.RELEASE else LEASE_MS,
        )
        reader.sent[record.record_id] = reader.clock_ms(self.now_ms)
        if lands:
            self.log.append(record)


class NoMargin(Leases):
    """Holder and others both count to the very end of the lease."""

    others_margin_ms = 0.0
    holder_margin_ms = 0.0


# Hypothesis derives the seed from the source of the state machine's class,
# docstrings included.
BOUNDS = hypothesis.settings(
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=[hypothesis.Phase.generate],
)


def test_only_one_instance_may_order_an_engine():
    stateful.run_state_machine_as_test(Leases, settings=BOUNDS)


def test_missing_margins_are_detected():
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(NoMargin, settings=BOUNDS)
