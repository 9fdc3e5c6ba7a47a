"""A server crashes inside an answer without a length: it is taken as whole."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import harness  # noqa: E402
import server as servers  # noqa: E402
import shop  # noqa: E402

CLIENTS = 16
BEFORE_S = 3.0
AFTER_S = 6.0
ANSWER_BYTES = 800


async def case(deployment: harness.Deployment, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    await shop.start(
        deployment,
        servers=4,
        work_ms="240",
        size=str(ANSWER_BYTES),
        length="no",
    )
    exchanges: list[shop.Exchange] = []
    loop = asyncio.get_running_loop()
    until = loop.time() + BEFORE_S + AFTER_S

    async def keep_sending(number: int) -> None:
        client = shop.Client(deployment, number)
        kinds = ((shop.ONCE_PATH, "POST"), (shop.REPEATABLE_PATH, "GET"))
        path, method = kinds[number % 2]
        while loop.time() < until:
            exchanges.append(await client.send(path, method))
            await asyncio.sleep(0.1)
        client.close()

    sending = [
        asyncio.ensure_future(keep_sending(number)) for number in range(CLIENTS)
    ]
    await asyncio.sleep(BEFORE_S)
    if has_trouble:
        deployment.servers["server-0"].kill()
    await asyncio.gather(*sending)
    return judge(deployment, exchanges)


def judge(
    deployment: harness.Deployment, exchanges: list[shop.Exchange]
) -> bool:
    """Returns whether MIXED is broken: a success without the whole body."""
    record = deployment.record
    broken = 0
    for exchange in exchanges:
        answer = exchange.answer
        is_success = 200 <= answer.status < 300 and answer.is_whole
        whole = servers.body_of(exchange.request_id, ANSWER_BYTES)
        if is_success and answer.body != whole:
            broken += 1
            record.line(
                f"mixed {exchange.request_id} by {exchange.instance}: success"
                f" with {len(answer.body)} of {len(whole)} bytes, ended as"
                f" whole ({answer.framing()})"
            )
    record.line(f"outcomes: {shop.summary(exchanges)}")
    record.line(f"successes without the whole body: {broken}")
    return broken > 0


if __name__ == "__main__":
    harness.run(str(FOLDER), case)
