"""End-to-end requests on loopback: streamed, not streamed, and plain."""

from __future__ import annotations

import json

from tests import loopback


async def test_all_kinds_of_requests_are_answered():
    async with loopback.deployed() as deployment:
        session, base = deployment.session, deployment.base
        prompt = "answer_tokens=9 " + "word " * 200
        body = {"model": "verdict-llm", "prompt": prompt, "max_tokens": 50}
        expected = loopback.expected_answer(prompt, 9)

        async with session.post(f"{base}/v1/completions", json=body) as answer:
            assert answer.status == 200, await answer.text()
            whole = await answer.json()
        assert whole["choices"][0]["text"] == expected

        body["stream"] = True
        async with session.post(f"{base}/v1/completions", json=body) as answer:
            lines = (await answer.text()).splitlines()
        sent = [line[6:] for line in lines if line.startswith("data: ")]
        assert sent[-1] == "[DONE]"
        texts = [json.loads(line)["choices"][0]["text"] for line in sent[:-1]]
        assert "".join(texts) == expected

        async with session.post(
            f"{base}/s/shop-api/stock?item=4", data=b"one"
        ) as answer:
            echoed = await answer.json()
        assert echoed["body"] == "one"
        assert echoed["path"] == "/stock?item=4"
        await deployment.wait_until_released()
