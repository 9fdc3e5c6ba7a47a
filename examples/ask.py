"""Asks a model service for a streamed answer, with a key for retries.

    python examples/ask.py URL TOKEN SERVICE PROMPT

The same key sent to any other instance joins the same answer.
"""

from __future__ import annotations

import asyncio
import json
import sys
import uuid

import aiohttp

_DATA = "data: "


async def main(url: str, token: str, service: str, prompt: str) -> None:
    """Prints the answer as it comes."""
    headers = {
        "Authorization": f"Bearer {token}",
        "Idempotency-Key": str(uuid.uuid4()),
    }
    body = {"model": service, "prompt": prompt, "stream": True}
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.post(f"{url}/v1/completions", json=body) as answer,
    ):
        answer.raise_for_status()
        async for line in answer.content:
            text = line.decode().strip().removeprefix(_DATA)
            if text.startswith("{"):
                choice = json.loads(text)["choices"][0]
                print(choice["text"], end="", flush=True)
    print()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
