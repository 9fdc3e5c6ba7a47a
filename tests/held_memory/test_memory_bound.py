"""How much of the memory may be held for callers."""

from __future__ import annotations

from jujubewharf.held_memory import memory_account
from jujubewharf.held_memory import memory_bound

MB = 1_000_000


def test_bound_is_what_the_instance_does_not_need_itself():
    small = memory_bound.bound_bytes(150, own_bytes=50 * MB)
    assert 0 < small + 50 * MB < 150 * MB
    assert memory_bound.bound_bytes(150, own_bytes=70 * MB) < small
    assert memory_bound.bound_bytes(300, own_bytes=50 * MB) > small


# Without a figure, that of the machine may be a host's that processes share.
def test_bound_without_a_figure_is_the_default_at_most():
    bound = memory_bound.bound_bytes(None, own_bytes=50 * MB)
    assert 0 < bound <= memory_account.DEFAULT_BOUND_BYTES


def test_resident_memory_is_known():
    assert memory_bound.resident_bytes() > MB
