"""Orders that instances exchange, and what they keep of them."""

from __future__ import annotations

import dataclasses

import pytest

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.experiments import virtual_time
from jujubewharf.peers import codec
from jujubewharf.peers import messages
from jujubewharf.peers import role_messages
from jujubewharf.role_orders import ledger as ledgers

PREFILL = resources.Role.PREFILL
DECODE = resources.Role.DECODE
Outcome = ledgers.Outcome


def _order(**changes) -> ledgers.KnownOrder:
    order = ledgers.KnownOrder(
        "g1", "llm", DECODE, Outcome.SENT, 3, 10_000.0, 23_000.0
    )
    return dataclasses.replace(order, **changes)


def _run(check) -> None:
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        await clock.sleep_ms(10_000.0)
        await check(ledgers.OrderLedger(clock), clock)

    virtual_time.run(main())


def test_orders_survive_the_wire():
    """Times are durations on the wire: instances have different clocks."""
    order = _order(sends=2)
    message = role_messages.RoleOrders.from_known([order], 12_000.0)
    frame = codec.Frame(codec.FrameKind.TELL, 0, message)
    received = codec.decode(codec.encode(frame)[4:]).message
    assert isinstance(received, role_messages.RoleOrders)
    (known,) = received.known_orders(112_000.0)
    shift_ms = 100_000.0
    assert known == dataclasses.replace(
        order,
        sent_ms=order.sent_ms + shift_ms,
        until_ms=order.until_ms + shift_ms,
    )


@pytest.mark.parametrize(
    "fields",
    [
        {"role": "unheard_of"},
        {"outcome": "unheard_of"},
        {"age_ms": -1},
        {"left_ms": 10**9},
        {"sends": 0},
    ],
)
def test_invalid_reports_are_left_out(fields):
    """An absurd time would block orders for a service for good."""
    message = role_messages.RoleOrders.from_known([_order()], 12_000.0)
    report = dataclasses.replace(message.orders[0], **fields)
    valid = dataclasses.replace(message.orders[0], engine="g2")
    message = role_messages.RoleOrders((report, valid))
    assert [o.engine for o in message.known_orders(0.0)] == ["g2"]


def test_reordered_messages_keep_the_outcome():
    """A late copy of the order must not hide that it was accepted."""

    async def check(ledger, clock):
        ledger.merge(_order(outcome=Outcome.ACCEPTED))
        ledger.merge(_order(sent_ms=10_004.0))
        (pending,) = ledger.pending("llm")
        assert pending.outcome is Outcome.ACCEPTED
        ledger.merge(_order(role=PREFILL, fence=2, sent_ms=11_000.0))
        (pending,) = ledger.pending("llm")
        assert pending.role is DECODE

    _run(check)


def test_refused_order_of_another_leader_is_dropped():
    async def check(ledger, clock):
        ledger.merge(_order())
        ledger.merge(_order(outcome=Outcome.NOT_RUN))
        assert not ledger.pending("llm")
        assert not ledger.recent()

    _run(check)


def test_old_orders_are_dropped():
    """Instances that never lead must not collect orders."""

    async def check(ledger, clock):
        for number in range(50):
            ledger.merge(_order(engine=f"g{number}"))
        await clock.sleep_ms(100_000.0)
        ledger.drop_expired()
        assert not ledger.recent()

    _run(check)


def test_older_builds_leave_the_message_aside(monkeypatch):
    """A build without the message must keep its link to the leader."""
    message = role_messages.RoleOrders.from_known([_order()], 12_000.0)
    data = codec.encode(codec.Frame(codec.FrameKind.TELL, 0, message))
    monkeypatch.delitem(messages.TYPE_OF_NUMBER, 150)
    with pytest.raises(codec.DroppedFrameError):
        codec.decode(data[4:])
