"""Records of another writer: each field at its type's edges.

A record is a sound one of which some fields were replaced, removed or repeated,
or whose bytes were cut, replaced or nested. The seed determines all of them.
"""

from __future__ import annotations

import json
import random

ROUTED = "shop-api"
MODEL = "verdict-llm"
# Engines of this service are only those of the other writer.
FOREIGN = "foreign-llm"

ENDPOINT = {
    "service": FOREIGN,
    "address": "10.9.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 4,
    "stage": "decode",
    "born": 1_700_000_000_000,
}
ROUTE = {
    "name": "lookups",
    "host": "shop.example",
    "pathPrefix": "/lookup/",
    "kind": "idempotent",
    "timeoutMs": 2_000,
    "sloLatencyMs": 300,
    "priority": 5,
    "maxAttempts": 2,
    "service": ROUTED,
}
STREAM_ROUTE = ROUTE | {
    "name": "verdicts",
    "pathPrefix": "/verdicts/",
    "kind": "stream",
    "timeoutMs": 14_000,
    "service": MODEL,
    "sticky": True,
    "resumable": True,
}
ENGINE = {
    "slots": 12,
    "kvTokens": 40_000,
    "handleTtlS": 0.5,
    "switchS": 6.0,
    "holdMs": 2_000.0,
    "stride": 1,
}
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4_194_304,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
TENANT = {
    "name": "tenant",
    "apiKeys": ["key"],
    "priority": 1,
    "unit": "tokens",
    "uncachedTokens": 200,
    "ratePerS": 100,
    "burst": 50,
}

CRASH = {
    "written_unix_ms": 1_000.0,
    "account": "",
    "shape": 7,
    "digest": "00" * 16,
    "label": "r1",
    "crashes": [{"engine": "d1", "age_ms": 5.0, "request": 3}],
    "cleared_age_ms": None,
    "trials": 1,
    "trial_age_ms": 3.0,
    "completions": 0,
    "position": 0,
}

# JSON texts, so that numbers come as they were written and not as Python reads
# them: 1e400 is infinite, and a repeated key isn't lost.
_NUMBERS = (
    "0",
    "-0",
    "-1",
    "-0.5",
    "1.5",
    "2147483648",
    "9007199254740993",
    "9223372036854775807",
    "9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    "-9223372036854775808",
    "-9223372036854775809",
    "1" + "0" * 20,
    "1" + "0" * 308,
    "9" * 5_000,
    "-1" + "0" * 40,
    "1e-320",
    "1e308",
    "-1e308",
    "1e400",
    "NaN",
    "Infinity",
    "-Infinity",
)
_STRINGS = (
    '""',
    '" "',
    '"\\u0000"',
    '"a\\r\\nb: c"',
    '"\\ud800"',
    '"\\udfff\\ud800"',
    '"\\ud83d\\ude00"',
    '"' + "x" * 70_000 + '"',
    '"10.9.0.1:0"',
    '"10.9.0.1:99999999999999999999"',
    '"[::1]:80"',
    '"ready"',
    '"1"',
)
_OTHERS = (
    "null",
    "true",
    "false",
    "[]",
    "{}",
    "[[]]",
    '{"a": {}}',
    "[" * 3_000 + "]" * 3_000,
    '{"a":' * 3_000 + "1" + "}" * 3_000,
    "[" + "1," * 20_000 + "1]",
    "[null, null]",
)
_EDGES = (*_NUMBERS, *_STRINGS, *_OTHERS)
_KEYS = (
    b"",
    b"i",
    b"i@1",
    b"i@18446744073709551616",
    b"i\r\nx: y",
    b"\xff\xfe",
    b"\xed\xa0\x80",
    b"\x00",
    b"k" * 255,
)


# Values of headers, as a parser of HTTP hands them on: bytes that aren't UTF-8
# come as lone surrogates.
HEADERS = (*_NUMBERS, "", "\udcff", "1,2", ",", "1," * 500, "a:b,c", "\udcff,1")


class HostileRecords:
    """Draws records.

    Args:
        seed: Determines all records.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)

    def endpoint(self) -> tuple[bytes, bytes]:
        """Returns key and value of an endpoint's registration."""
        key = self._rng.choice(_KEYS)
        if self._rng.random() < 0.7:
            key = b"i-%d" % self._rng.randrange(40)
        return key, self._spoilt(self._changed(ENDPOINT))

    def crash(self) -> tuple[str, bytes]:
        """Returns key and value of a crash report."""
        key = f"w-{self._rng.randrange(40)}"
        sound = CRASH | {"digest": f"{self._rng.randrange(99):032x}"}
        return key, self._spoilt(self._changed(sound))

    def configuration(self, version: int) -> bytes:
        """Returns a configuration; its version is mostly the given one."""
        parts = {
            "route": (ROUTE, 0.4),
            "stream": (STREAM_ROUTE, 0.4),
            "engine": (ENGINE, 0.3),
            "limits": (LIMITS, 0.3),
            "tenant": (TENANT, 0.3),
        }
        texts = {
            name: self._changed(sound)
            if self._rng.random() < share
            else json.dumps(sound)
            for name, (sound, share) in parts.items()
        }
        services = [f'{{"name": "{ROUTED}"}}'] + [
            f'{{"name": "{name}", "engine": {texts["engine"]}}}'
            for name in (MODEL, FOREIGN)
        ]
        fields = {
            "version": str(version),
            "routes": f"[{texts['route']}, {texts['stream']}]",
            "services": f"[{', '.join(services)}]",
            "limits": texts["limits"],
        }
        if self._rng.random() < 0.2:
            fields["tenants"] = f"[{texts['tenant']}]"
        if self._rng.random() < 0.3:
            name = self._rng.choice(sorted(fields))
            fields[name] = self._rng.choice(_EDGES)
        pairs = [f'"{name}": {text}' for name, text in fields.items()]
        return self._spoilt("{" + ", ".join(pairs) + "}")

    def _changed(self, sound: dict[str, object]) -> str:
        pairs = [(name, json.dumps(value)) for name, value in sound.items()]
        for _ in range(self._rng.randint(1, 3)):
            at = self._rng.randrange(len(pairs))
            edge = self._rng.choice(_EDGES)
            match self._rng.randrange(6):
                case 0:
                    # Of equal names one is taken; which is the parser's choice.
                    pairs.append((pairs[at][0], edge))
                case 1 if len(pairs) > 1:
                    del pairs[at]
                case _:
                    pairs[at] = (pairs[at][0], edge)
        texts = [f'"{name}": {text}' for name, text in pairs]
        return "{" + ", ".join(texts) + "}"

    def _spoilt(self, text: str) -> bytes:
        data = text.encode()
        match self._rng.randrange(30):
            case 0:
                return data[: self._rng.randrange(len(data))] or b"{"
            case 1:
                return self._rng.randbytes(self._rng.randint(1, 60))
            case 2:
                return self._rng.choice(_EDGES).encode()
            case 3:
                at = self._rng.randrange(len(data))
                return data[:at] + b"\xed\xa0\x80" + data[at:]
            case _:
                return data
