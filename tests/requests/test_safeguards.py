"""Checks that each safeguard is needed.

Each safeguard is disabled by a patch. A test or a seed of the random run that
passes with it must fail without it. ``docs/design/requests.md`` has the same
table.
"""

from __future__ import annotations

import dataclasses
from typing import Any
from unittest import mock

import pytest

from jujubewharf import errors
from jujubewharf.peers import key_messages
from jujubewharf.requests import active_answer
from jujubewharf.requests import answer_cache
from jujubewharf.requests import attempt
from jujubewharf.requests import claim_coverage
from jujubewharf.requests import claim_records
from jujubewharf.requests import claim_shard
from jujubewharf.requests import claims
from jujubewharf.requests import handover
from jujubewharf.requests import keys
from jujubewharf.requests import relay
from jujubewharf.requests import releases
from jujubewharf.requests import request_runner
from jujubewharf.requests import retries
from jujubewharf.requests import sweep
from tests import soak
from tests.requests import test_answer_service
from tests.requests import test_claims
from tests.requests import test_request_runner
from tests.requests import test_restored_log
from tests.requests import test_sweep


@dataclasses.dataclass(frozen=True)
class DisabledSafeguard:
    """A safeguard, how to disable it, and the check that must then fail.

    Attributes:
        name: The safeguard.
        owner: Class or module to patch.
        attribute: Name of the patched attribute.
        replacement: Value of the patched attribute.
        check: Must raise ``AssertionError`` while the safeguard is disabled.
    """

    name: str
    owner: Any
    attribute: str
    replacement: Any
    check: Any


def seeds(*numbers):
    """Returns a check that runs seeds of the random run."""

    def check():
        for number in numbers:
            assert soak.run_seed(number).violations == []

    return check


async def _nothing(*args, **kwargs):
    return None


async def _once(self, attempt_id, endpoint):
    view = self._fleet.view(endpoint.name)
    try:
        await view.client.release(attempt_id)
    except Exception:
        return


async def _no_home(*args, **kwargs):
    raise keys.HomesUnreachableError


async def _always_won(self, key, request_id, body=b"", *, created_ms=None):
    return claims.Claim(True, self._instance, request_id, body)


async def _yes(*args):
    return True


async def _append_blindly(self, wanted):
    payload = claim_records.encode(claim_records.Batch(0.0, tuple(wanted)))
    (offset,) = await self._log.append(self._stream, [payload])
    for claim in wanted:
        self.holders.apply(claim)
    self._next_offset = offset + 1


async def _answer_unknown(self, wanted):
    return key_messages.ClaimReply(is_unknown=True)


def _last_wins(self, claim):
    self._claims[claim.key] = claim


def _take_anything(answer, index, pulled):
    answer.add(pulled.texts)
    return index + len(pulled.texts)


def _take_unchecked(self, view, chunk, place):
    self._progress.answer.add(chunk.tokens)
    return place + len(chunk.tokens)


def _says_no(error, dispatch):
    return errors.Ran.NO


ALL = [
    DisabledSafeguard(
        "releases are repeated until answered",
        releases.Releaser,
        "_release",
        _once,
        test_request_runner.test_an_unanswered_release_is_repeated,
    ),
    DisabledSafeguard(
        "every exit releases",
        releases.Releaser,
        "release",
        lambda *args: None,
        lambda: (
            test_request_runner.test_memory_is_free_at_once_when_the_caller_leaves(
                300
            )
        ),
    ),
    DisabledSafeguard(
        "the sweep",
        sweep.Sweep,
        "_sweep_engine",
        _nothing,
        test_sweep.test_a_reservation_that_lands_after_its_release_is_freed,
    ),
    DisabledSafeguard(
        "owners name their living attempts",
        releases.Releaser,
        "find_unneeded",
        lambda self, digests: digests,
        test_sweep.test_live_requests_keep_their_memory,
    ),
    DisabledSafeguard(
        "a silent owner is asked by way of others",
        sweep.Sweep,
        "_intermediaries",
        lambda *args: [],
        test_sweep.test_an_owner_that_others_can_reach_keeps_its_memory,
    ),
    DisabledSafeguard(
        "key records at homes",
        keys.KeyHomes,
        "register",
        _no_home,
        test_answer_service.test_a_retry_elsewhere_joins_the_running_answer,
    ),
    DisabledSafeguard(
        "records follow their homes",
        keys.KeyHomes,
        "copy_to",
        _nothing,
        test_answer_service.test_records_follow_when_their_home_is_lost,
    ),
    DisabledSafeguard(
        "keys are told apart by account",
        keys,
        "key_of",
        lambda account, key: key.encode(),
        test_answer_service.test_accounts_do_not_share_keys,
    ),
    DisabledSafeguard(
        "a key's body is compared",
        keys,
        "body_of",
        lambda digest: b"",
        test_answer_service.test_the_same_key_with_another_body_is_a_conflict,
    ),
    DisabledSafeguard(
        "a takeover releases the lost run",
        releases.Releaser,
        "release_by_names",
        lambda *args: None,
        test_answer_service.test_a_dead_owners_answer_is_taken_over_and_its_memory_freed,
    ),
    DisabledSafeguard(
        "a caller that left ends its run",
        active_answer.ActiveAnswer,
        "linger_ms",
        property(lambda self: 1e9),
        lambda: (
            test_answer_service.test_a_disconnected_caller_leaves_no_memory_allocated(
                True
            )
        ),
    ),
    DisabledSafeguard(
        "claims",
        claims.Claims,
        "claim",
        _always_won,
        test_claims.test_a_dead_owners_run_is_unknown_and_not_repeated,
    ),
    DisabledSafeguard(
        "the first claim in log order holds",
        claim_records.Holders,
        "apply",
        _last_wins,
        test_claims.test_a_key_has_one_holder_and_one_successor,
    ),
    DisabledSafeguard(
        "records between two appends are folded",
        claim_shard.ClaimShard,
        "_append",
        _append_blindly,
        test_claims.test_two_owners_of_one_shard_agree_by_the_logs_order,
    ),
    DisabledSafeguard(
        "only the owner's word frees a claim",
        claims.Claims,
        "_is_abandoned",
        _yes,
        test_claims.test_a_dead_owners_run_is_unknown_and_not_repeated,
    ),
    DisabledSafeguard(
        "a dated key expires by the clock that forgets claims",
        claim_shard.ClaimShard,
        "_refuse_old",
        lambda *args: None,
        lambda: test_claims.test_a_dated_key_that_is_too_old_never_runs_again(
            "slow"
        ),
    ),
    DisabledSafeguard(
        "undated claims are carried on",
        claim_shard.ClaimShard,
        "reappend",
        _nothing,
        test_claims.test_an_undated_claim_outlives_the_logs_retention,
    ),
    DisabledSafeguard(
        "keys are vouched for after a restore",
        claim_coverage.CoverageTracker,
        "vouches_for",
        lambda *args: True,
        test_restored_log.test_lost_claim_is_unknown_at_an_instance_that_started_later,
    ),
    DisabledSafeguard(
        "former owners are asked for lost claims",
        claims.Claims,
        "_ask_former_owners",
        _answer_unknown,
        test_restored_log.test_former_owner_answers_for_a_shard_that_a_started_instance_owns,
    ),
    DisabledSafeguard(
        "a lost answer counts as a dispatch",
        retries,
        "NO_EFFECT_FAULTS",
        retries.NO_EFFECT_FAULTS | {test_request_runner.LOST},
        test_request_runner.test_not_repeatable_is_never_dispatched_twice,
    ),
    DisabledSafeguard(
        "did not run is said only when certain",
        request_runner,
        "ran_of",
        _says_no,
        lambda: (
            test_request_runner.test_a_deadline_reports_whether_the_request_ran(
                400, errors.Ran.YES
            )
        ),
    ),
    DisabledSafeguard(
        "tokens are numbered",
        attempt.AttemptRun,
        "_add_chunk",
        _take_unchecked,
        lambda: (
            test_request_runner.test_an_engines_death_leaves_no_gap_and_no_repeat(
                {"d2": test_request_runner.NO_RESUME}
            )
        ),
    ),
    DisabledSafeguard(
        "relayed tokens are numbered",
        relay,
        "_add_pulled",
        _take_anything,
        test_answer_service.test_a_paused_owner_finds_its_run_taken_over,
    ),
    DisabledSafeguard(
        "retry budget",
        retries.RetryBudget,
        "take",
        lambda *args: True,
        test_request_runner.test_retries_stop_when_their_budget_is_used_up,
    ),
    DisabledSafeguard(
        "finished answers are kept",
        answer_cache.AnswerCache,
        "add",
        lambda *args: None,
        test_answer_service.test_a_retry_after_the_end_gets_the_finished_answer,
    ),
    DisabledSafeguard(
        "answers are handed over at a shutdown",
        handover.Handover,
        "hand_over_all",
        _nothing,
        lambda: (
            test_answer_service.test_a_finished_answer_outlives_its_instances_shutdown(
                True
            )
        ),
    ),
    DisabledSafeguard(
        "claims, under random failures",
        claims.Claims,
        "claim",
        _always_won,
        seeds(*range(1, 9)),
    ),
    DisabledSafeguard(
        "releases, under random failures",
        releases.Releaser,
        "release",
        lambda *args: None,
        seeds(*range(1, 9)),
    ),
    DisabledSafeguard(
        "truth of did not run, under random failures",
        request_runner,
        "ran_of",
        _says_no,
        seeds(2),
    ),
]


@pytest.mark.parametrize("safeguard", ALL, ids=lambda safeguard: safeguard.name)
def test_without_the_safeguard_a_check_fails(safeguard):
    with mock.patch.object(
        safeguard.owner, safeguard.attribute, safeguard.replacement
    ):
        with pytest.raises(AssertionError):
            safeguard.check()
