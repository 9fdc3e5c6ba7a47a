"""Decides which instance runs a request, by key, claim and takeover."""

from __future__ import annotations

from jujubewharf import errors
from jujubewharf.requests import active_answer as active_answers
from jujubewharf.requests import answer_cache
from jujubewharf.requests import claims as request_claims
from jujubewharf.requests import counters as request_counters
from jujubewharf.requests import keys
from jujubewharf.requests import model_request
from jujubewharf.requests import relay as relays
from jujubewharf.requests import releases
from jujubewharf.requests import request_runner


class Ownership:
    """Finds and follows an existing run of a key, or lets this instance run it.

    Args:
        instance: Name of this instance.
        homes: Key records and their home instances.
        claims: Claims for requests that are not repeatable.
        relay: Follows answers of other instances.
        releaser: Releases the resources of lost runs.
        counters: Counters of requests.

    Attributes:
        homes_of: Homes that have each key's record.
    """

    def __init__(
        self,
        instance: str,
        homes: keys.KeyHomes,
        claims: request_claims.Claims,
        relay: relays.Relay,
        releaser: releases.Releaser,
        counters: request_counters.Counters,
    ) -> None:
        self.homes_of: dict[bytes, list[keys.HomeProcess]] = {}
        self._instance = instance
        self._homes = homes
        self._claims = claims
        self._relay = relay
        self._releaser = releaser
        self._counters = counters

    async def acquire(self, active: active_answers.ActiveAnswer) -> bool:
        """Determines whether this instance runs the request.

        Returns:
            False when the answer was relayed to its end instead.

        Raises:
            WharfError: The request is refused.
        """
        is_mine = await self._acquire(active)
        if is_mine and active.request.resume_from > 0:
            # The caller has the first tokens of an answer that no longer
            # exists. A new run may produce different tokens, which must not be
            # combined.
            detail = "Ask again for the answer from its start."
            raise errors.WharfError(errors.ErrorKind.KEY_EXPIRED, detail)
        return is_mine

    async def _acquire(self, active: active_answers.ActiveAnswer) -> bool:
        request = active.request
        if not request.has_callers_key:
            return True
        minter = model_request.minted_by(request.key)
        if minter is not None:
            return await self._join_minted(active, minter)
        if not await self._register(active):
            return False
        if not request.is_repeatable:
            return await self._claim(active)
        return True

    async def join(
        self, active: active_answers.ActiveAnswer, source: relays.Source
    ) -> bool:
        """Follows another run of the key.

        Returns:
            Whether that run ended without an answer, so that this request may
            proceed. A request that is not repeatable proceeds to its claim.
        """
        result = await self._follow(active, source)
        if result.outcome is relays.FollowOutcome.DONE:
            return False
        failure = result.failure
        if failure is not None and failure.ran is errors.Ran.NO:
            return True
        active.may_have_run = True
        if failure is not None and not active.request.is_repeatable:
            active.answer.finish(failure)
            return False
        return True

    def hooks(
        self, active: active_answers.ActiveAnswer
    ) -> request_runner.Hooks:
        """Builds the callbacks for the run of a request."""
        if not active.request.has_callers_key:
            return request_runner.Hooks(may_have_run=active.may_have_run)

        def on_dispatch(attempt_id: str, engines: tuple[str, ...]) -> None:
            self._homes.send_dispatch(active.key, attempt_id, engines)

        async def confirm() -> None:
            # A claimed request can't be taken over, whatever the records at the
            # key's homes contain.
            if active.request.is_repeatable:
                await self._confirm(active)

        def is_taken_over() -> bool:
            return active.taken_over is not None

        return request_runner.Hooks(
            on_dispatch=on_dispatch,
            confirm=confirm,
            is_taken_over=is_taken_over,
            may_have_run=active.may_have_run,
        )

    async def _join_minted(
        self, active: active_answers.ActiveAnswer, minter: str
    ) -> bool:
        source = relays.Source(minter, active.request.key)
        if not await self.join(active, source):
            return False
        if not active.request.is_repeatable:
            # Only the minting instance may run it, and has no record of it.
            raise errors.WharfError(errors.ErrorKind.KEY_EXPIRED)
        return True

    async def _register(self, active: active_answers.ActiveAnswer) -> bool:
        request = active.request
        mine = keys.KeyRecord(
            active.key, active.body, self._instance, request.request_id
        )
        keep_ms = request.deadline_ms + answer_cache.RETENTION_MS
        replaces = active.replaces
        while True:
            try:
                record = await self._homes.register(
                    mine, replaces=replaces, keep_ms=keep_ms
                )
            except keys.HomesUnreachableError:
                # A failure domain that is cut off from both homes continues to
                # serve. Requests that are not repeatable still need a claim.
                return True
            self.homes_of[active.key] = self._homes.home_processes(active.key)
            if record.request_id == request.request_id:
                return True
            if record.body != active.body:
                raise errors.WharfError(errors.ErrorKind.KEY_CONFLICT)
            source = relays.Source(record.owner, record.request_id)
            if not await self.join(active, source):
                return False
            if record.attempt_id:
                self._releaser.release_by_names(
                    record.attempt_id, record.engines
                )
            replaces = record.request_id

    async def _claim(self, active: active_answers.ActiveAnswer) -> bool:
        request = active.request
        created_ms = self._claims.check_age(request.key)
        active.is_claimed = True
        claim = await self._claims.claim(
            active.key, request.request_id, active.body, created_ms=created_ms
        )
        if claim.is_won:
            active.may_have_run = False
            return True
        active.may_have_run = True
        if claim.body != active.body:
            raise errors.WharfError(errors.ErrorKind.KEY_CONFLICT)
        source = relays.Source(claim.owner, claim.request_id)
        result = await self._follow(active, source)
        match result.outcome:
            case relays.FollowOutcome.DONE:
                return False
            case relays.FollowOutcome.UNREACHABLE:
                raise errors.WharfError(errors.ErrorKind.CLAIM_LOST)
            case relays.FollowOutcome.NOT_THERE:
                raise errors.WharfError(errors.ErrorKind.KEY_EXPIRED)
            case relays.FollowOutcome.FAILED:
                assert result.failure is not None
                kind = result.failure.kind
                raise errors.WharfError(kind, ran=errors.Ran.UNKNOWN)

    async def _follow(
        self, active: active_answers.ActiveAnswer, source: relays.Source
    ) -> relays.FollowResult:
        active.source = source
        self._counters.attached("elsewhere")
        try:
            own = relays.Source(self._instance, active.request.request_id)
            return await self._relay.follow(
                source, own, active.key, active.body, active.answer
            )
        except BaseException:
            active.may_have_run = True
            raise
        finally:
            if active.answer.end is None:
                active.source = None

    async def _confirm(self, active: active_answers.ActiveAnswer) -> None:
        """Checks for a takeover by another instance after a lost attempt.

        An instance that was paused finds its streams broken. It must not start
        another attempt if the request was taken over in the meantime.
        """
        try:
            record = await self._homes.look_up(active.key)
        except keys.HomesUnreachableError:
            return
        mine = active.request.request_id
        if record is not None and record.request_id != mine:
            raise request_runner.TakenOverError(record.owner, record.request_id)
