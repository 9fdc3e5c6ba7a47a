"""Notices that are read from the headers of engines' responses."""

from __future__ import annotations

import contextlib
import types

import pytest
from users_platform import endpoint_notices

from jujubewharf.endpoint_load import reports
from jujubewharf.engines import client
from jujubewharf.engines import notices
from jujubewharf.forwarding import calls
from jujubewharf.peers import codec
from jujubewharf.peers import limit_messages
from tests import hostile_records
from tests.users_platform import engine_calls
from tests.users_platform import raw_server


async def _noticed(answer: bytes) -> list[notices.Notice]:
    """Returns the notices after one response of an engine."""
    told: list[notices.Notice] = []
    async with raw_server.serving(lambda _: [answer]) as (_, address):
        async with engine_calls.connected() as backends:
            backends.listen(lambda _, notice: told.append(notice))
            sending = calls.OutboundRequest(engine_calls.call(), 1_000.0)
            with contextlib.suppress(client.EngineError):
                async with backends.send(
                    engine_calls.endpoint(address), sending
                ):
                    pass
    return told


@pytest.mark.parametrize(
    ("answer", "limit", "ends_limit"),
    [
        (engine_calls.good(Server_Limit="1.8"), 1.8, False),
        (engine_calls.good(Server_Limit=" 0 "), 0.0, False),
        (engine_calls.good(Server_Limit="-1"), None, False),
        (engine_calls.good(Server_Limit="nan"), None, False),
        (engine_calls.good(Server_Limit="some"), None, False),
        (engine_calls.good(), None, True),
        (raw_server.answer("503 Busy", Request_Id="r1"), None, False),
        (raw_server.answer("500 Failed", Request_Id="r1"), None, False),
    ],
)
async def test_rate_limit_notices(answer, limit, ends_limit):
    """A rate limit ends only with a response that proves to be the engine's.

    Malformed limits or responses of a proxy must not lift the limit.
    """
    (notice,) = await _noticed(answer)
    assert (notice.rate_limit_per_s, notice.ends_limit) == (limit, ends_limit)


@pytest.mark.parametrize(
    ("status", "retry_after", "backoff_ms"),
    [
        ("503 Busy", "1.5", 1_500.0),
        ("429 Busy", "2", 2_000.0),
        ("503 Busy", "Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
        ("503 Busy", "-3", 0.0),
        ("200 OK", "2", 0.0),
    ],
)
async def test_backoff_notices(status, retry_after, backoff_ms):
    answer = raw_server.answer(
        status, Request_Id="r1", Not_Executed="1", Retry_After=retry_after
    )
    (notice,) = await _noticed(answer)
    assert notice.backoff_ms == backoff_ms


@pytest.mark.parametrize(
    "status", ["200 OK", "421 Other", "500 Failed", "503 Busy"]
)
async def test_leaving_notice_is_read_from_every_response(status):
    more = {"Instance_Id": "i-1"} if status == "421 Other" else {}
    answer = raw_server.answer(
        status, Request_Id="r1", Server_Leaving="1", **more
    )
    (notice,) = await _noticed(answer)
    assert notice.is_leaving


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0,8", reports.LoadReport(3, 0, 8)),
        (" 3 , 0 , 8 , 250 ", reports.LoadReport(3, 0, 8, 2.5)),
        # An empty value is missing, and values of a newer platform are ignored.
        ("3,0,8,", reports.LoadReport(3, 0, 8)),
        ("3,0,8,250,7,x", reports.LoadReport(3, 0, 8, 2.5)),
        ("", None),
        ("3", None),
        ("3,0", None),
        (",,,", None),
        ("3,,8", None),
        ("-3,0,8", None),
        ("3,0,0", None),
        ("3,0,nan", None),
        ("3,0,8,inf", None),
        ("3;0;8", None),
        ("3,0,8,fast", None),
        ("3,0," + "9" * 1_000, None),
    ],
)
async def test_load_notices(text, load):
    """A malformed load is ignored; the answer itself is not affected."""
    (notice,) = await _noticed(engine_calls.good(Engine_Load=text))
    assert notice.load == load
    assert notice.ends_limit


async def test_answer_without_load_reports_none():
    (notice,) = await _noticed(engine_calls.good())
    assert notice.load is None


async def test_refusal_reports_load():
    """A full endpoint's load matters most."""
    refusal = raw_server.answer(
        "503 Busy", Request_Id="r1", Not_Executed="1", Engine_Load="6,24,6"
    )
    (notice,) = await _noticed(refusal)
    assert notice.load == reports.LoadReport(6, 24, 6)


@pytest.mark.parametrize(
    "more", [{"Request_Id": "r2"}, {"Instance_Id": "i-2"}, {}]
)
async def test_no_notice_from_another_engine(more):
    """Responses of another engine or to another request give no notice.

    Otherwise a healthy engine would be taken for one that is leaving, or the
    load of one engine for that of another.
    """
    is_foreign = "Request_Id" in more
    status = "200 OK" if is_foreign else "421 Other"
    given = {
        "Request_Id": "r1",
        "Server_Leaving": "1",
        "Engine_Load": "6,24,6",
    } | more
    assert await _noticed(raw_server.answer(status, **given)) == []


@pytest.mark.parametrize(
    "name", ["Server-Limit", "Retry-After", "Engine-Load", "Server-Leaving"]
)
def test_notices_at_their_edges_can_be_sent_on(name):
    """They fail no answer, and no message to the leader."""
    for value in hostile_records.HEADERS:
        response = types.SimpleNamespace(status=503, headers={name: value})
        notice = endpoint_notices.parse_notice(response, sent_ms=5.0)
        for number in (notice.rate_limit_per_s or 0.0, notice.backoff_ms):
            assert 0.0 <= number <= 1e15, value
        load = notice.load or reports.LoadReport(0, 0, 1)
        terms = notices.Terms("s1", notice.rate_limit_per_s, notice.is_leaving)
        message = limit_messages.EndpointTerms((terms,), is_news=True)
        frame = codec.Frame(codec.FrameKind.TELL, 0, message)
        assert codec.decode(codec.body_of(codec.encode(frame))) == frame
        assert load.slots > 0
