"""Compares the messages of a whole session with a golden file.

The transcript has the requests and responses of caller, instance, engines,
endpoint and log. Ids are replaced by numbers and consecutive token events are
merged, so that it is the same on every run.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import re

from jujubewharf.engines import client
from tests import loopback

PROMPT = "answer_tokens=4 condition of laptop 17"
COMPLETIONS = "/v1/completions"
CHAT = "/v1/chat/completions"
SHOWN_HEADERS = (
    "Content-Type",
    "Idempotency-Key",
    "X-Attempt",
    "X-Request-Id",
    "X-Should-Retry",
    "Retry-After",
)
ID_PATTERN = re.compile(r"(?:e1~)?[0-9a-f]{32}")
ENGINE_CALLS = ("reserve", "prefill", "import_kv", "decode", "release")


class _Transcript:
    """Messages of the session, in order."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self._ids: dict[str, str] = {}

    def add(self, party: str, text: str) -> None:
        self.lines.append(f"{party:10} {self._plain(text)}")

    def text(self) -> str:
        return "\n".join(self.lines)

    def _plain(self, text: str) -> str:
        text = re.sub(r'"created":\s*\d+', '"created":0', text)
        text = re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", text)
        return ID_PATTERN.sub(self._numbered, text)

    def _numbered(self, match: re.Match[str]) -> str:
        number = len(self._ids) + 1
        return self._ids.setdefault(match[0], f"<id {number}>")


class _Recorder:
    """Records the calls to the stand-ins during a step.

    Releases run concurrently, so they are sorted and listed last.
    Reservation and prefill run concurrently, too; reservations come first.
    """

    def __init__(
        self, deployment: loopback.Loopback, transcript: _Transcript
    ) -> None:
        self._transcript = transcript
        self._calls: list[tuple[str, str]] = []
        self._releases: list[tuple[str, str]] = []
        for engine in deployment.engines.values():
            for name in ENGINE_CALLS:
                self._wrap(engine, name)
        self._wrap_log(deployment)

    def write(self) -> None:
        calls = _reservations_first(self._calls)
        for party, text in [*calls, *sorted(self._releases)]:
            self._transcript.add(party, text)
        self._calls.clear()
        self._releases.clear()

    @property
    def releases(self) -> int:
        return len(self._releases)

    def _wrap(self, engine, name: str) -> None:
        inner = getattr(engine, name)

        def call(*arguments):
            shown = ", ".join(_shown(argument) for argument in arguments)
            kept = self._releases if name == "release" else self._calls
            kept.append((engine.name, f"{name} {shown}"))
            return inner(*arguments)

        setattr(engine, name, call)

    def _wrap_log(self, deployment: loopback.Loopback) -> None:
        inner = deployment.log.append

        async def append(stream, payloads):
            offsets = await inner(stream, payloads)
            if stream.startswith("claim"):
                line = f"append {stream} gives offsets {offsets}"
                self._calls.append(("log", line))
            return offsets

        deployment.log.append = append


def _reservations_first(
    calls: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Moves each reservation before the prefill it directly follows."""
    settled = list(calls)
    for place in range(1, len(settled)):
        before, after = settled[place - 1], settled[place]
        if before[1].startswith("prefill") and after[1].startswith("reserve"):
            settled[place - 1], settled[place] = after, before
    return settled


def _shown(argument: object) -> str:
    match argument:
        case client.Attempt():
            return argument.attempt_id
        case client.PrefillJob() | client.DecodeJob():
            fields = dataclasses.asdict(argument)
            return json.dumps(fields)
    return str(argument)


async def _step(
    deployment: loopback.Loopback,
    transcript: _Transcript,
    recorder: _Recorder,
    path: str,
    body: dict | bytes,
    headers: dict[str, str] | None = None,
    *,
    releases: int = 2,
) -> None:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    transcript.add("caller", f"POST {path} {headers or {}} {data.decode()}")
    async with deployment.session.post(
        deployment.base + path, data=data, headers=headers or {}
    ) as answer:
        text = await answer.text()
    for _ in range(500):
        if recorder.releases >= releases:
            break
        await asyncio.sleep(0.01)
    recorder.write()
    shown = {k: answer.headers[k] for k in SHOWN_HEADERS if k in answer.headers}
    transcript.add("entry", f"{answer.status} {json.dumps(shown)}")
    for line in _body_lines(text):
        transcript.add("entry", line)
    transcript.lines.append("")


def _body_lines(text: str) -> list[str]:
    """Formats a body; consecutive token events are merged into one line."""
    if not text.startswith(("id:", "data:", "event:")):
        return [text]
    lines: list[str] = []
    tokens, last_id, seen = "", "", 0
    for block in text.strip().split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.splitlines())
        piece = _piece(fields["data"])
        if piece is not None and "jujubewharf" not in fields["data"]:
            tokens += piece
            last_id = fields["id"]
            seen += 1
            continue
        if tokens:
            lines.append(f"events to id {last_id}: {tokens!r}")
            tokens = ""
        lines.append(" ".join(f"{k}: {v}" for k, v in fields.items()))
    return lines


def _piece(data: str) -> str | None:
    if data == "[DONE]":
        return None
    choices = json.loads(data).get("choices")
    if not choices:
        return None
    choice = choices[0]
    if "delta" in choice:
        return choice["delta"].get("content")
    return choice["text"]


async def test_a_whole_session(snapshot):
    till = loopback.account("till", "t1", services=("shop-api",))
    dealer = loopback.account("dealer", "d1", services=("verdict-llm",))
    transcript = _Transcript()
    async with loopback.deployed(till, dealer) as deployment:
        recorder = _Recorder(deployment, transcript)

        async def step(path, body, headers, **more) -> None:
            await _step(
                deployment, transcript, recorder, path, body, headers, **more
            )

        body = {"model": "verdict-llm", "prompt": PROMPT, "max_tokens": 9}
        token = {"Authorization": "Bearer d1"}
        key = {"Idempotency-Key": "verdict-17"}
        await step(COMPLETIONS, body, token)
        await step(COMPLETIONS, body | {"stream": True}, token | key)
        await step(
            COMPLETIONS,
            body | {"stream": True},
            token | key | {"Last-Event-ID": "2"},
            releases=0,
        )
        await step(
            COMPLETIONS,
            body | {"stream": True, "max_tokens": 8},
            token | key,
            releases=0,
        )
        message = {"role": "user", "content": "how worn"}
        await step(
            CHAT,
            {
                "model": "verdict-llm",
                "messages": [message],
                "max_tokens": 3,
                "stream": True,
                "stream_options": {"include_usage": True},
            },
            token,
        )
        once = {"X-Repeatable": "false", "Idempotency-Key": "verdict-18"}
        await step(COMPLETIONS, body, token | once)
        await step(COMPLETIONS, body, {}, releases=0)
        await step("/s/shop-api/stock", b"laptop 17", token, releases=0)
        till_token = {"Authorization": "Bearer t1"}
        sale = {"Idempotency-Key": "sale-1"}
        await step("/s/shop-api/stock", b"laptop 17", till_token, releases=0)
        headers = till_token | sale
        for _ in range(2):
            await step("/s/shop-api/sale", b"17", headers, releases=0)
        await deployment.wait_until_released()
    assert transcript.text() == snapshot
