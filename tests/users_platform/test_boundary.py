"""The platform's wire format is confined to its small adapter folder."""

from __future__ import annotations

import pathlib
import re

import jujubewharf

ROOT = pathlib.Path(__file__).parents[2]
SOURCE = pathlib.Path(jujubewharf.__file__).parent
ADAPTER = ROOT / "platform"
MAX_LINES = 1_500

# Headers, calls and fields that are specific to the platform.
WORDS = re.compile(
    r"Server-(Seal|Limit|Leaving)|Store-Era|Not-Executed|Kv-[A-Z]|Expect-Instance|Expect-Version"
    r"|Engine-Load|Instance-Id|Token-Counts|Prompt-Prefix|Length-Hint"
    r"|(?<!X-)Deadline-Ms|Pin-Ms|Request-Priority|Weight-Versions"
    r"|log-(append|read|newest|join|leave|commit|owners|trim)"
    r"|hold-(take|drop)|kv-(move|handle|pin|events|list)"
    r"|trafficSplit|pathPrefix|sloLatencyMs|maxAttempts|kvHandle|kvTokens"
    r"|coldLeftMs|hasMore|keyed\.(op|servers|status)|JUJUBEWHARF_NODE_FILE"
)


def test_platform_terms_stay_in_the_adapter():
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in SOURCE.rglob("*.py")
        for match in WORDS.finditer(path.read_text())
    ]
    assert found == []


def test_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in ADAPTER.rglob("*.py")
    )
    assert lines < MAX_LINES


def test_adapter_imports_no_policy_modules():
    """The adapter must not import modules that implement policies."""
    decides = ("placement", "pool", "budget", "role_plan", "plain", "stream")
    imported = [
        name
        for path in ADAPTER.rglob("*.py")
        for name in decides
        if f"from jujubewharf.forwarding import {name}\n" in path.read_text()
    ]
    assert imported == []
