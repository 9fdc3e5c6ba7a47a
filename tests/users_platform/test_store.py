"""The HTTP client for the store's tables and groups."""

from __future__ import annotations

import base64
import contextlib
import json
import struct

import pytest
from users_platform import store

from jujubewharf import clock as clocks
from jujubewharf.platform import epochs
from jujubewharf.platform import log
from jujubewharf.platform import tables
from tests.users_platform import raw_server


def _decode(key: str, value: bytes) -> str:
    if value == b"bad":
        raise ValueError("bad")
    return value.decode()


@contextlib.asynccontextmanager
async def _table(script):
    async with raw_server.serving(script) as (server, address):
        async with store.new_session() as session:
            calls = store.Store(
                address, session, clocks.Clock(), epochs.StoreEpoch()
            )
            yield store.StoreTable(calls, "keyed.x", _decode), server


def _json(value: object) -> bytes:
    return raw_server.answer(body=json.dumps(value).encode())


def _item(key: str, value: bytes, offset: int) -> dict[str, object]:
    encoded = base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "offset": offset}


def _changes(end: int, first: int, *records: bytes) -> bytes:
    body = struct.pack(">QQ", end, first)
    for record in records:
        body += struct.pack(">I", len(record)) + record
    return raw_server.answer(body=body)


async def test_whole_table_is_read_page_by_page():
    pages = {
        "": {"items": [_item("a", b"1", 3)], "hasMore": True, "end": 7},
        "a": {"items": [_item("b", b"2", 9)], "hasMore": False, "end": 10},
    }

    def script(received):
        after = received.line.partition("after=")[2].partition(" ")[0]
        return [_json(pages[after])]

    async with _table(script) as (table, _):
        page = await table.newest()
    assert page.records == (
        tables.TableRecord("a", 3, "1"),
        tables.TableRecord("b", 9, "2"),
    )
    # Records that were written between the pages are read as changes.
    assert page.end == 7


async def test_changes_have_offsets_and_removals():
    sent = _changes(9, 2, b"\x01a1", b"\x01b", b"\x02cc22")
    async with _table(lambda r: [sent]) as (table, server):
        page = await table.changes(5, wait_ms=300.0)
    assert page.records == (
        tables.TableRecord("a", 5, "1"),
        tables.TableRecord("b", 6, None),
        tables.TableRecord("cc", 7, "22"),
    )
    assert page.end == 8
    assert "from=5" in server.received[0].line
    assert "waitMs=300" in server.received[0].line


async def test_truncated_record_is_read_again():
    whole = _changes(9, 2, b"\x01a1")
    cut = whole.replace(b"Content-Length: 23", b"Content-Length: 27")
    cut += struct.pack(">I", 50)
    async with _table(lambda r: [cut]) as (table, _):
        page = await table.changes(5, wait_ms=0.0)
    assert page.end == 6


async def test_undecodable_record_has_no_value():
    """An invalid record replaces the earlier valid one of its key."""
    sent = _changes(9, 2, b"\x01abad", b"", b"\x01b2")
    async with _table(lambda r: [sent]) as (table, _):
        page = await table.changes(5, wait_ms=0.0)
    assert page.records == (
        tables.TableRecord("a", 5, None, is_unreadable=True),
        tables.TableRecord("b", 7, "2"),
    )
    assert page.end == 8


async def test_truncated_log_raises():
    gone = raw_server.answer("410 Gone", b'{"first":44}')
    async with _table(lambda r: [gone]) as (table, _):
        with pytest.raises(log.LogTruncatedError) as caught:
            await table.changes(5, wait_ms=0.0)
    assert caught.value.first_offset == 44


@pytest.mark.parametrize(
    "steps",
    [
        [raw_server.answer("503 Busy")],
        [raw_server.answer("429 Many")],
        [raw_server.answer("500 Oops")],
        [raw_server.answer("200 OK", b"[]")],
        [raw_server.RESET],
        [raw_server.answer()[:-1]],
    ],
)
async def test_failed_calls_raise_unavailable(steps):
    async with _table(lambda r: steps) as (table, _):
        with pytest.raises(log.LogUnavailableError):
            await table.newest()
        with pytest.raises(log.LogUnavailableError):
            await table.changes(0, wait_ms=0.0)


async def test_call_timeout_raises_unavailable(monkeypatch):
    monkeypatch.setattr(store, "_TIMEOUT_MS", 50.0)
    async with _table(lambda r: [raw_server.SILENCE]) as (table, _):
        with pytest.raises(log.LogUnavailableError):
            await table.changes(0, wait_ms=0.0)


def _in_era(era: str, body: bytes, status: str = "200 OK") -> bytes:
    return raw_server.answer(status, body, Store_Era=era, Connection="close")


def _page(end: int, *, more: bool, item: dict[str, object]) -> bytes:
    page = {"items": [item], "hasMore": more, "end": end}
    return json.dumps(page).encode()


async def test_positions_name_the_epoch():
    sent = _in_era("3", _page(7, more=False, item=_item("a", b"1", 2)))
    async with _table(lambda r: [sent]) as (table, _):
        page = await table.newest()
    assert page.end == epochs.combine(3, 7)
    assert page.records[0].offset == epochs.combine(3, 2)


@pytest.mark.parametrize("status", ["200 OK", "410 Gone"])
async def test_read_from_before_a_restore_is_refused(status):
    """The restored store has the offset again, with other records."""
    body = struct.pack(">QQ", 9, 0) + struct.pack(">I", 3) + b"\x01a1"
    sent = _in_era("4", body, status)
    async with _table(lambda r: [sent]) as (table, server):
        with pytest.raises(log.LogRestoredError):
            await table.changes(epochs.combine(3, 5), wait_ms=0.0)
    assert "from=5" in server.received[0].line


async def test_table_read_across_a_restore_is_refused():
    """Pages of two epochs don't make up one table."""
    pages = {
        "": _in_era("3", _page(7, more=True, item=_item("a", b"1", 3))),
        "a": _in_era("4", _page(2, more=False, item=_item("b", b"2", 1))),
    }

    def script(received):
        after = received.line.partition("after=")[2].partition(" ")[0]
        return [pages[after]]

    async with _table(script) as (table, _):
        with pytest.raises(log.LogRestoredError):
            await table.newest()


@pytest.mark.parametrize("era", ["", "x", "-1", "9" * 400])
async def test_unreadable_epoch_changes_nothing(era):
    sent = _in_era(era, _page(7, more=False, item=_item("a", b"1", 2)))
    async with _table(lambda r: [sent]) as (table, _):
        page = await table.newest()
    assert page.end == 7


async def test_joining_a_group():
    answer = _json({"generation": 7, "ttlMs": 3, "parts": [["t", 3, 0]]})
    async with raw_server.serving(lambda r: [answer]) as (server, address):
        async with store.new_session() as session:
            calls = store.Store(
                address, session, clocks.Clock(), epochs.StoreEpoch()
            )
            group = store.StoreGroup(
                calls, "g", "m", part_count=24, ttl_ms=3_000.0
            )
            share = await group.join(6)
    assert (share.generation, share.parts) == (7, frozenset({3}))
    sent = json.loads(server.received[0].body)
    assert sent["member"].rpartition("/")[0] == "m"
    assert (sent["group"], sent["generation"], sent["ttlMs"]) == ("g", 6, 3000)


async def test_generation_rises_across_a_restore():
    """A restored store deals out lower generations than before.

    The last one received must not acknowledge those that are yet to come.
    """
    answers = iter([("1", 7), ("2", 3)])

    def script(received):
        era, generation = next(answers)
        body = {"generation": generation, "parts": [["t", 0, 0]]}
        return [_in_era(era, json.dumps(body).encode())]

    async with raw_server.serving(script) as (server, address):
        async with store.new_session() as session:
            calls = store.Store(
                address, session, clocks.Clock(), epochs.StoreEpoch()
            )
            group = store.StoreGroup(
                calls, "g", "m", part_count=24, ttl_ms=3_000.0
            )
            first = await group.join(0)
            calls.epoch.learn(epochs.combine(2, 0))
            second = await group.join(first.generation)
    assert second.generation > first.generation
    assert json.loads(server.received[1].body)["generation"] == 0


async def test_records_are_written_in_one_call():
    async with _table(lambda r: [_json({"offset": 0, "end": 2})]) as (
        table,
        server,
    ):
        await table.write({"a": b"1", "bb": None})
    (received,) = server.received
    assert received.line.startswith("POST /jujubewharf/log-append?")
    assert "topic=keyed.x" in received.line
    assert "part=0" in received.line
    first, second = b"\x01a1", b"\x02bb"
    packed = [struct.pack(">I", len(r)) + r for r in (first, second)]
    assert received.body == b"".join(packed)


@pytest.mark.parametrize("status", ["503 Busy", "507 Full", "404 None"])
async def test_refused_write_raises(status):
    async with _table(lambda r: [raw_server.answer(status)]) as (table, _):
        with pytest.raises(log.LogUnavailableError):
            await table.write({"a": b"1"})


async def test_missing_table_raises_unavailable():
    """A missing table must not look like one without endpoints."""
    absent = raw_server.answer("404 Not Found", b"{}")
    async with _table(lambda r: [absent]) as (table, _):
        with pytest.raises(log.LogUnavailableError):
            await table.newest()


_SOUND_ITEM = _item("a", b"1", 3)


@pytest.mark.parametrize(
    "page",
    [
        {"items": [], "end": "7"},
        {"items": [], "end": -1},
        {"items": [], "end": 2**32},
        {"items": [], "end": 10**30},
        {"items": [], "end": 1.5},
        {"items": {}, "end": 7},
        {"items": [], "hasMore": True, "end": 7},
        {"items": [{"offset": 1}], "hasMore": True, "end": 7},
        {"items": [_SOUND_ITEM], "hasMore": True, "end": 7},
    ],
)
async def test_answer_of_another_shape_counts_as_none(page):
    """It ended the process, or was read again without end."""
    async with _table(lambda r: [_json(page)]) as (table, _):
        with pytest.raises(log.LogUnavailableError):
            await table.newest()


@pytest.mark.parametrize(
    "item",
    [
        [],
        None,
        {},
        {"key": "b"},
        {"key": 7, "offset": 4, "value": ""},
        _item("b", b"2", 2**32),
        _item("b", b"2", -1),
        _item("b", b"2", 4) | {"offset": "4"},
        _item("b", b"2", 4) | {"offset": None},
    ],
)
async def test_item_without_key_or_offset_costs_itself(item):
    """It ended the process, and its page has others."""
    items = [_item("a", b"1", 3), item, _item("c", b"3", 5)]
    async with _table(lambda r: [_json({"items": items, "end": 7})]) as (
        table,
        _,
    ):
        found = await table.newest()
    assert found.records == (
        tables.TableRecord("a", 3, "1"),
        tables.TableRecord("c", 5, "3"),
    )


@pytest.mark.parametrize("value", [7, [], {}, "a", "\u00e9", None, "x==="])
async def test_value_that_is_no_base64_costs_this_record(value):
    items = [_item("a", b"1", 3), {"key": "b", "value": value, "offset": 4}]
    page = {"items": items, "end": 7}
    async with _table(lambda r: [_json(page)]) as (table, _):
        found = await table.newest()
    assert found.records[0] == tables.TableRecord("a", 3, "1")
    assert found.records[1].value is None


async def test_record_at_which_the_decoder_fails_costs_this_record(monkeypatch):
    """Whatever its failure is."""

    def decode(key, value):
        if value == b"bad":
            raise OverflowError("bad")
        return value.decode()

    monkeypatch.setitem(globals(), "_decode", decode)
    sent = _changes(9, 2, b"\x01abad", b"\x01b2")
    async with _table(lambda r: [sent]) as (table, _):
        page = await table.changes(5, wait_ms=0.0)
    assert page.records == (
        tables.TableRecord("a", 5, None, is_unreadable=True),
        tables.TableRecord("b", 6, "2"),
    )


@pytest.mark.parametrize(
    "answer",
    [
        {"generation": "7", "parts": []},
        {"generation": -1, "parts": []},
        {"generation": 2**40, "parts": []},
        {"generation": 7, "parts": {}},
        {"generation": 7, "parts": [["t"]]},
        {"generation": 7, "parts": [["t", "x", 0]]},
        {"generation": 7, "parts": [None]},
    ],
)
async def test_group_answer_of_another_shape_counts_as_none(answer):
    async with raw_server.serving(lambda r: [_json(answer)]) as (_, address):
        async with store.new_session() as session:
            calls = store.Store(
                address, session, clocks.Clock(), epochs.StoreEpoch()
            )
            group = store.StoreGroup(
                calls, "g", "m", part_count=24, ttl_ms=3_000.0
            )
            with pytest.raises(log.LogUnavailableError):
                await group.join(6)


@pytest.mark.parametrize("parts", [{}, [["t", 1]], [["t", "x", "m/1"]], [7]])
async def test_owners_of_another_shape_count_as_none(parts):
    answer = _json({"parts": parts})
    async with raw_server.serving(lambda r: [answer]) as (_, address):
        async with store.new_session() as session:
            calls = store.Store(
                address, session, clocks.Clock(), epochs.StoreEpoch()
            )
            group = store.StoreGroup(
                calls, "g", "m", part_count=24, ttl_ms=3_000.0
            )
            with pytest.raises(log.LogUnavailableError):
                await group.contacts()
