"""Declares a configuration file through the operator client.

python examples/apply_configuration.py FILE TOKEN IP:PORT [IP:PORT ...]
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import pathlib
import sys

from jujubewharf.configuration import resources
from jujubewharf.operators import client
from jujubewharf.operators import documents
from jujubewharf.operators import values


def main(path: str, token: str, *addresses: str) -> int:
    """Applies a file and prints what each change came to."""
    read = documents.parse(pathlib.Path(path).read_text(encoding="utf-8"))
    if read.is_err():
        print("\n".join(read.unwrap_err()), file=sys.stderr)
        return 2
    reply = asyncio.run(_apply(read.unwrap(), token, addresses))
    for item in reply.items:
        print(item)
    return 1 if reply.failed else 0


async def _apply(
    declared: list[resources.Resource], token: str, addresses: Sequence[str]
) -> values.ApplyReply:
    async with client.OperatorClient(addresses, token) as operators:
        return await operators.apply(declared)


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
