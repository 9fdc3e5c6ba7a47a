"""Kills all instances while streams run that callers take up again.

Exits with 1 if rule LOST was broken, 0 if it held, 2 if it couldn't run.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import sys
import time

_FOLDER = pathlib.Path(__file__).resolve().parent
_ROOT = _FOLDER.parents[1]
sys.path.insert(0, str(_ROOT))

from review.second import system as systems  # noqa: E402
from tests.real_processes import answers  # noqa: E402
from tests.real_processes import http_io  # noqa: E402

# Two engines to decode of each version, as within a release.
ENGINES = [
    *(("prefill", version) for version in answers.VERSIONS),
    *(("decode", version) for version in answers.VERSIONS * 2),
]
SLOTS = 12
EVENTS = 100
STREAMS = 20
NEW_CALLERS = 6
# Time for which all instances run before they are killed, and are gone.
CALM_S = 6.0
DOWN_S = 1.0
# Bounds of the users' pages.
STABLE_WINDOW_S = 3.0
LEAST_JUDGED = 12
LEAST_SHARE = 0.5
# A caller takes its stream up again so often at most.
MOST_TRIES = 5
_RETRY_S = 0.2


@dataclasses.dataclass
class Try:
    """A request and what came back.

    Attributes:
        request_id: Its id.
        is_new: Whether it begins a stream.
        instance: The instance that it was sent to.
        sent_s: When it was sent.
        last_event: Number of the last event that its caller has.
        got: Events that it brought.
        end: How it ended.
        wait_s: Time after which the caller may come back.
    """

    request_id: str
    is_new: bool
    instance: str
    sent_s: float
    last_event: int = 0
    got: int = 0
    end: str = ""
    wait_s: float = _RETRY_S


class Caller:
    """Reads a stream, and takes it up again after its last event.

    Args:
        name: Name with which its requests' ids begin.
        system: The deployment.
        tries: Where its requests are recorded.
    """

    def __init__(
        self, name: str, system: systems.System, tries: list[Try]
    ) -> None:
        self.name = name
        self.taken_up: list[Try] = []
        self._system = system
        self._tries = tries
        self._number = sum(name.encode())
        self._until_s = 0.0
        self._no_channel_until_s = 0.0
        self._connection: http_io.Connection | None = None

    async def run(self) -> None:
        """Reads one stream to its end, or until its time is over."""
        self._until_s = time.monotonic() + systems.DEADLINE_MS / 1_000
        first = await self._try(None)
        last = first
        while self._may_go_on(first, last):
            await asyncio.sleep(last.wait_s)
            again = await self._try(first, last.last_event)
            if again.end == "no channel":
                last.wait_s = _RETRY_S
                continue
            self.taken_up.append(again)
            last = again

    def _may_go_on(self, first: Try, last: Try) -> bool:
        return (
            0 < last.last_event < EVENTS
            and first.got > 0
            and last.end != "whole"
            and len(self.taken_up) < MOST_TRIES
            and time.monotonic() + last.wait_s < self._until_s
        )

    def lose_channel(self) -> None:
        """Ends the channel; the next one isn't had for a while."""
        if self._connection is not None:
            self._connection.writer.transport.abort()
        self._no_channel_until_s = time.monotonic() + STABLE_WINDOW_S + 1.0

    async def _try(self, first: Try | None, last_event: int = 0) -> Try:
        self._number += 1
        instances = self._system.instances
        instance = instances[self._number % len(instances)]
        made = Try(
            f"{self.name}-{self._number}",
            first is None,
            instance.name,
            time.monotonic(),
            last_event,
        )
        left_ms = int((self._until_s - made.sent_s) * 1_000)
        fields = {
            "Host": systems.HOST,
            "Request-Id": made.request_id,
            "Model": "m",
            "Token-Counts": f"{systems.PROMPT_TOKENS},{EVENTS}",
            "Prompt-Prefix": f"{self.name}:{systems.PROMPT_TOKENS}",
            "Deadline-Ms": max(1, left_ms),
            "Content-Length": 4,
        }
        if first is not None:
            fields["Last-Event-Id"] = last_event
            fields["Resumes"] = first.request_id
        try:
            if made.sent_s < self._no_channel_until_s:
                raise OSError
            connection = await http_io.open_connection(instance.callers)
        except OSError:
            made.end = "no channel"
            return made
        self._connection = connection
        self._tries.append(made)
        try:
            async with asyncio.timeout(left_ms / 1_000):
                await self._exchange(made, connection, fields)
        except TimeoutError:
            made.end = "time over"
        except (OSError, http_io.ClosedError):
            made.end = "channel closed"
        finally:
            connection.writer.transport.abort()
        return made

    async def _exchange(
        self, made: Try, connection: http_io.Connection, fields: dict
    ) -> None:
        head = http_io.head("POST /summary/1 HTTP/1.1", fields)
        await connection.send(head + b"body")
        received = await connection.read_response_head()
        parts = connection.body_parts(received.headers)
        if received.status != 200:
            body = b"".join([part async for part in parts])
            made.end = f"status {received.status} {body.decode()}"
            made.wait_s = float(received.headers.get("retry-after", _RETRY_S))
            return
        async for part in parts:
            count = part.count(answers.EVENT_END)
            made.got += count
            made.last_event += count
        made.end = "whole" if made.last_event == EVENTS else "ended early"


async def _play(processes: systems.Processes) -> list[str]:
    system = systems.System(processes)
    await system.start_store(systems.stream_configuration(SLOTS))
    for number, (stage, version) in enumerate(ENGINES):
        options = systems.engine_options(
            system, f"{stage}-{version}-{number}", stage, slots=SLOTS
        )
        module = ["-m", "tests.real_processes.engine_process"]
        process = processes.start(
            ["python3", "-S", *module, *options, "--version", version]
        )
        systems.first_line(process)
    await system.start_instances()
    await asyncio.sleep(CALM_S)
    tries: list[Try] = []
    callers = [Caller(f"long-{n}", system, tries) for n in range(STREAMS)]
    reading = [asyncio.ensure_future(caller.run()) for caller in callers]
    await asyncio.sleep(2.0)
    started_s = time.monotonic()
    if systems.HAS_TROUBLE:
        started_s = await _kill_all(system)
    else:
        # The channels of all callers end, and nothing else happens.
        for caller in callers:
            caller.lose_channel()
    beginning = [
        asyncio.ensure_future(_begin_streams(f"new-{n}", system, tries))
        for n in range(NEW_CALLERS)
    ]
    await asyncio.wait(reading)
    for task in beginning:
        task.cancel()
    await asyncio.wait(beginning)
    return _judge(callers, tries, started_s)


async def _kill_all(system: systems.System) -> float:
    """Kills all instances; returns when they were started again."""
    for instance in system.instances:
        instance.process.send_signal(signal.SIGKILL)
    for instance in system.instances:
        instance.process.wait()
    await asyncio.sleep(DOWN_S)
    for instance in system.instances:
        instance.start(is_first_start=False)
    return time.monotonic()


async def _begin_streams(
    name: str, system: systems.System, tries: list[Try]
) -> None:
    """Begins one stream after the other, and leaves each soon."""
    for number in range(100):
        caller = Caller(f"{name}-{number}", system, tries)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(caller.run(), 1.0)
        await asyncio.sleep(0.1)


def _judge(
    callers: list[Caller], tries: list[Try], started_s: float
) -> list[str]:
    from_s = started_s + STABLE_WINDOW_S
    judged = [
        [t for t in caller.taken_up if t.sent_s >= from_s] for caller in callers
    ]
    judged = [tries for tries in judged if tries]
    went_on = sum(any(t.got for t in tries) for tries in judged)
    until_s = max((t.sent_s for tries in judged for t in tries), default=0.0)
    new = [t for t in tries if t.is_new and from_s <= t.sent_s <= until_s]
    begun = sum(t.got > 0 for t in new)
    lines = [
        f"streams taken up again at machines in touch: {len(judged)}, of which"
        f" {went_on} went on; new ones meanwhile: {len(new)}, of which {begun}"
        " began"
    ]
    if len(judged) >= LEAST_JUDGED and new:
        share = went_on / len(judged)
        if share < LEAST_SHARE * begun / len(new):
            lines.append("BROKEN: LOST")
    for made in sorted(tries, key=lambda t: t.sent_s):
        what = "begins" if made.is_new else "goes on"
        lines.append(
            f"{made.request_id} {what} at {made.instance},"
            f" {made.sent_s - started_s:.2f} s after the start: {made.got}"
            f" events, {made.end}"
        )
    return lines


if __name__ == "__main__":
    sys.exit(systems.run_case(_play, _FOLDER / "record.txt"))
