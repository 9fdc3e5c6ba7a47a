"""How much of a machine's memory may be held for callers."""

from __future__ import annotations

import ctypes
import os
import pathlib

from jujubewharf import clock as clocks
from jujubewharf.held_memory import account_log
from jujubewharf.held_memory import gauges
from jujubewharf.held_memory import memory_account

_MEMORY_INFO = pathlib.Path("/proc/meminfo")
_OWN_PAGES = pathlib.Path("/proc/self/statm")
_KIB = 1_024
_BYTES_PER_MB = 1_000_000
# Parameter of ``mallopt``, from ``malloc.h``.
_M_MMAP_THRESHOLD = -3
# Above what the event loop allocates for each read of a socket.
_LARGE_BLOCK_BYTES = 524_288
# Share of the memory that is left to what the instance itself comes to need
# meanwhile: state of the fleet, buffers of connections, answers.
_OWN_GROWTH_SHARE = 0.07
# Below this, no body of the usual bound could be served at all.
_MIN_HELD_BYTES = 8 * _KIB * _KIB


def new_account(
    clock: clocks.Clock, memory_mb: float | None
) -> memory_account.HeldMemory:
    """Creates the account of an instance; call it once per process.

    Args:
        clock: Time source.
        memory_mb: Memory of the process in MB; ``None`` if the settings give
            none.
    """
    return_large_blocks()
    account = memory_account.HeldMemory(clock)
    account.on_check = lambda: _update_bound(account, memory_mb)
    account.check_bound()
    account_log.log_bound(account.bound_bytes, resident_bytes=resident_bytes())
    gauges.register_gauges(account)
    return account


def _update_bound(
    account: memory_account.HeldMemory, memory_mb: float | None
) -> None:
    """Bounds what is held by what the instance doesn't need itself now."""
    account.bound_bytes = bound_bytes(
        memory_mb, own_bytes=resident_bytes() - account.arrived_bytes
    )


def return_large_blocks() -> None:
    """Has the C library return large blocks to the system once they are free.

    By default it keeps blocks of the size of bodies for later use, also where
    none of the next bodies fits, so that more memory is used than is held.
    """
    try:
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES)
    except (OSError, AttributeError):
        # Another C library, without such a parameter.
        return


def bound_bytes(memory_mb: float | None, *, own_bytes: int) -> int:
    """Returns how much may be held for callers, in bytes.

    Args:
        memory_mb: Memory of the process in MB; ``None`` if the settings give
            none.
        own_bytes: What the instance needs itself now.
    """
    if memory_mb is None:
        # The machine may be a host that many processes share.
        memory, most = _machine_bytes(), memory_account.DEFAULT_BOUND_BYTES
    else:
        memory = most = int(memory_mb * _BYTES_PER_MB)
    left = int(memory * (1 - _OWN_GROWTH_SHARE)) - own_bytes
    return max(_MIN_HELD_BYTES, min(left, most))


def resident_bytes() -> int:
    """Returns the memory that this process has; 0 if unknown."""
    try:
        pages = int(_OWN_PAGES.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


def _machine_bytes() -> int:
    """Returns the machine's memory; the default's need if unknown."""
    try:
        for line in _MEMORY_INFO.read_text().splitlines():
            name, _, value = line.partition(":")
            if name == "MemTotal":
                return int(value.split()[0]) * _KIB
    except (OSError, ValueError, IndexError):
        pass
    return 4 * memory_account.DEFAULT_BOUND_BYTES
