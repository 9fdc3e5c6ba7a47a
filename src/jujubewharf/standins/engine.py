"""Stand-in for a model engine with batching, prefill, KV transfer and decode.

It models what routing decisions depend on: a limited number of decode slots,
prefill time proportional to the prompt, expiring prefill results, links of
limited rate, a prefix cache, delayed load reports and orders with or without
fencing. Answers are a function of the prompt, so that tests can verify them.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import AsyncIterator

import numpy as np

from jujubewharf import clock as clocks
from jujubewharf import hashing
from jujubewharf.engines import client
from jujubewharf.engines import prefixes
from jujubewharf.standins import engine_counts
from jujubewharf.standins import engine_spec
from jujubewharf.standins import generation as generations
from jujubewharf.standins import link as links
from jujubewharf.standins import load_history
from jujubewharf.standins import prefill_ledger
from jujubewharf.standins import prefill_results
from jujubewharf.standins import prefix_cache
from jujubewharf.standins import priority_lock
from jujubewharf.standins import slots

EngineSpec = engine_spec.EngineSpec
answer_token = generations.answer_token
answer_length = generations.answer_length
Counts = engine_counts.Counts
KvSource = links.KvSource


class Engine:
    """In-process engine that implements ``engines.client.EngineClient``.

    Args:
        name: Name of the engine.
        spec: Behaviour of the engine.
        clock: Clock of the simulation.
        rng: Random number generator of the prefix cache.

    Attributes:
        lose_answers: Number of next calls that take effect but whose answers
            are lost, by method name.
        lag_ms: Time until a call takes effect, by method name; it may take
            effect after its caller has timed out.
    """

    def __init__(
        self,
        name: str,
        spec: EngineSpec,
        clock: clocks.Clock,
        rng: np.random.Generator,
    ) -> None:
        self.name = name
        self.spec = spec
        self.counts = Counts()
        self.ledger = prefill_ledger.PrefillLedger()
        self.link = links.Link(spec.link_bytes_per_s, clock)
        self.cache = prefix_cache.PrefixCache(clock, rng)
        self.sources: dict[str, KvSource] = {}
        self.role = spec.role
        self.model = spec.model
        self.model_version = spec.model_version
        self.adapters: tuple[str, ...] = ()
        self.is_leaving = False
        self.is_dead = False
        self.orders: list[client.Order] = []
        self.lose_answers: collections.Counter[str] = collections.Counter()
        self.lag_ms: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._slots: dict[str, slots.Slot] = {}
        self._prefilled = prefill_results.PrefillResults(
            clock, self.counts, self.ledger
        )
        self._prefills: dict[str, asyncio.Task[client.PrefillResult]] = {}
        self._running = 0
        self._queued_tokens = 0
        self._prefill_lock = priority_lock.PriorityLock()
        self._fence = 0
        self._history = load_history.LoadHistory()

    def __repr__(self) -> str:
        return f"Engine({self.name!r}, {len(self._slots)} slots held)"

    async def reserve(self, attempt: client.Attempt) -> None:
        """Reserves a decode slot; see ``client.EngineClient``."""
        await self._receive("reserve")
        self._take_slot(attempt)
        self._raise_if_answer_lost("reserve")

    def _take_slot(self, attempt: client.Attempt) -> None:
        self._check_alive()
        if attempt.attempt_id in self._slots:
            return
        if self.is_leaving:
            raise self._error(client.EngineFault.REFUSED_LEAVING)
        if len(self._slots) >= self.spec.slots:
            raise self._error(client.EngineFault.REFUSED_FULL)
        self._slots[attempt.attempt_id] = slots.Slot(
            attempt, self._clock.now_ms()
        )
        self._record_load()

    async def prefill(
        self, attempt: client.Attempt, job: client.PrefillJob
    ) -> client.PrefillResult:
        """Prefills a prompt; see ``client.EngineClient``."""
        self._check_alive()
        self._check_model(job.model)
        if self.is_leaving:
            raise self._error(client.EngineFault.REFUSED_LEAVING)
        task = self._prefills.get(attempt.attempt_id)
        if task is None:
            task = asyncio.create_task(self._prefill_prompt(attempt, job))
            self._prefills[attempt.attempt_id] = task
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                fault = client.EngineFault.LOST
                raise self._error(fault) from None
            raise

    async def import_kv(
        self, attempt: client.Attempt, source_address: str
    ) -> int:
        """Pulls a prefill result; see ``client.EngineClient``."""
        self._check_alive()
        if not self.spec.capabilities.kv_import:
            raise self._error(client.EngineFault.UNSUPPORTED)
        self._take_slot(attempt)
        source = self.sources.get(source_address)
        if source is None:
            raise self._error(client.EngineFault.KV_GONE)
        kv_bytes = await source.export_kv(attempt.attempt_id)
        self._check_alive()
        slot = self._slots.get(attempt.attempt_id)
        if slot is None:
            raise self._error(client.EngineFault.UNKNOWN_ATTEMPT)
        slot.has_kv = True
        self._raise_if_answer_lost("import_kv")
        return kv_bytes

    async def export_kv(self, attempt_id: str) -> int:
        """Sends a prefill result over the link; see ``KvSource``."""
        self._check_alive()
        if not self.spec.capabilities.kv_export:
            raise self._error(client.EngineFault.UNSUPPORTED)
        prefilled = self._prefilled.get(attempt_id)
        if prefilled is None:
            raise self._error(client.EngineFault.KV_GONE)
        with self._prefilled.transfer_of(prefilled):
            await self.link.transfer(prefilled.kv_bytes)
            self._check_alive()
        self._prefilled.mark_sent(prefilled)
        return prefilled.kv_bytes

    async def decode(
        self, attempt: client.Attempt, job: client.DecodeJob
    ) -> AsyncIterator[client.TokenChunk]:
        """Decodes and streams the answer; see ``client.EngineClient``."""
        self._check_alive()
        self._check_model(job.model)
        self._take_slot(attempt)
        slot = self._slots[attempt.attempt_id]
        if slot.generation is None:
            slot.generation = generations.Generation(job.first_index)
            self._running += 1
            self.counts.dispatches[attempt.attempt_id] += 1
            slot.generation.task = asyncio.create_task(
                self._generate(slot, job)
            )
        self._raise_if_answer_lost("decode")
        lost = self._error(client.EngineFault.LOST)
        follow = slot.generation.follow(job.first_index, lost)
        async for chunk in follow:
            yield chunk

    async def release(self, attempt_id: str) -> None:
        """Cancels and releases an attempt; see ``client.EngineClient``."""
        await self._receive("release")
        await self._release(attempt_id)
        self._raise_if_answer_lost("release")

    async def _release(self, attempt_id: str) -> None:
        prefill_task = self._prefills.pop(attempt_id, None)
        if prefill_task is not None:
            prefill_task.cancel()
        self._prefilled.release(attempt_id)
        slot = self._slots.get(attempt_id)
        if slot is None:
            return
        is_running = slot.generation is not None
        if is_running and not self.spec.capabilities.cancel:
            return
        self._free_slot(attempt_id)
        await slot.abort()

    async def load(self) -> client.LoadReport:
        """Returns the load of ``report_lag_ms`` ago; see ``EngineClient``."""
        self._check_alive()
        self._record_load()
        return self._history.at(self._clock.now_ms() - self.spec.report_lag_ms)

    def load_now(self) -> client.LoadReport:
        """Returns the current load, for the oracle and for checks only."""
        return client.LoadReport(
            measured_ms=self._clock.now_ms(),
            slots_total=self.spec.slots,
            slots_used=len(self._slots),
            prefill_queued_tokens=self._queued_tokens,
            decode_queued=0,
            step_ms=self._step_ms(),
            is_leaving=self.is_leaving,
            model=self.model,
            model_version=self.model_version,
            adapters=self.adapters,
            role=self.role,
        )

    async def held(self) -> tuple[client.HeldAttempt, ...]:
        """Returns the held attempts; see ``client.EngineClient``."""
        self._check_alive()
        now_ms = self._clock.now_ms()
        return tuple(
            client.HeldAttempt(slot.attempt, now_ms - slot.taken_at_ms)
            for slot in self._slots.values()
        )

    async def cache_events(
        self, after_sequence: int
    ) -> tuple[client.CacheEvent, ...]:
        """Returns cache events; see ``client.EngineClient``."""
        self._check_alive()
        return self.cache.events(after_sequence)

    async def order(self, order: client.Order) -> None:
        """Executes an order; see ``client.EngineClient``."""
        self._check_alive()
        if self.spec.capabilities.checks_fencing and order.fence < self._fence:
            raise self._error(client.EngineFault.REFUSED_FENCE)
        self._fence = max(self._fence, order.fence)
        self.orders.append(order)
        match order.kind:
            case client.OrderKind.CHANGE_ROLE:
                await self._drop_all_requests()
                self.role = order.value
            case client.OrderKind.LOAD_ADAPTER:
                if order.value not in self.adapters:
                    self.adapters = (*self.adapters, order.value)
            case client.OrderKind.LOAD_MODEL:
                await self._drop_all_requests()
                await self.fetch_weights()
                self.model = order.value
                self.model_version = order.version
        self._record_load()

    async def _drop_all_requests(self) -> None:
        """Drops all requests, as a change of weights or role does."""
        self.counts.cut_by_orders += len(self._slots)
        for slot in list(self._slots.values()):
            await slot.abort()
        self._slots.clear()

    async def fetch_weights(self) -> None:
        """Simulates loading model weights."""
        await self._clock.sleep_ms(self.spec.load_ms)

    async def die(self) -> None:
        """Crashes the engine, which loses all its state."""
        self.is_dead = True
        for prefill_task in self._prefills.values():
            prefill_task.cancel()
        for slot in list(self._slots.values()):
            await slot.abort()
        self._prefilled.drop_all()
        self._prefills.clear()
        self._slots.clear()
        self._running = 0
        self.cache.clear()
        self._record_load()

    def restart(self) -> None:
        """Restarts the engine after a crash, without its state."""
        self.is_dead = False
        self._queued_tokens = 0
        self._prefill_lock = priority_lock.PriorityLock()

    async def _prefill_prompt(
        self, attempt: client.Attempt, job: client.PrefillJob
    ) -> client.PrefillResult:
        tokens = len(prefixes.tokens_of(job.prompt))
        priority = job.priority if self.spec.capabilities.priorities else 0
        self._queued_tokens += tokens
        self._record_load()
        try:
            async with self._prefill_lock.hold(priority):
                cached = self.cache.cached_tokens(job.prompt)
                await self._simulate_prefill(
                    attempt.attempt_id, tokens - cached
                )
        finally:
            self._queued_tokens = max(0, self._queued_tokens - tokens)
            self._prefills.pop(attempt.attempt_id, None)
            self._record_load()
        self.cache.store(job.prompt)
        self.counts.prefilled_tokens += tokens
        kv_bytes = tokens * self.spec.kv_bytes_per_token
        survives_ms = self.spec.prefill_survives_ms
        self._prefilled.add(
            prefill_results.PrefillResult(
                attempt.attempt_id,
                kv_bytes,
                self._clock.now_ms() + survives_ms,
                tokens,
            )
        )
        return client.PrefillResult(tokens, cached, kv_bytes, survives_ms)

    async def _simulate_prefill(self, attempt_id: str, tokens: int) -> None:
        await prefill_ledger.simulate_prefill(
            self.ledger,
            self._clock,
            attempt_id,
            tokens,
            ms_per_token=self.spec.prefill_ms_per_token,
            is_dead=lambda: self.is_dead,
        )

    async def _generate(self, slot: slots.Slot, job: client.DecodeJob) -> None:
        generation = slot.generation
        assert generation is not None
        length = answer_length(job.prompt, job.max_tokens)
        if not slot.has_kv:
            tokens = len(prefixes.tokens_of(job.prompt)) + job.first_index
            async with self._prefill_lock.hold(job.priority):
                await self._simulate_prefill(slot.attempt.attempt_id, tokens)
            self.counts.prefilled_tokens += tokens
            self.counts.used_prefill_tokens += tokens
            self.ledger.settle(
                slot.attempt.attempt_id, prefill_ledger.Fate.KEPT
            )
        index = job.first_index
        while index < length:
            size = min(self.spec.chunk_tokens, length - index)
            await self._clock.sleep_ms(self._step_ms() * size)
            tokens_now = generations.answer_tokens(job.prompt, index, size)
            index += size
            self.counts.decoded_tokens += size
            self.ledger.write(slot.attempt.attempt_id, size)
            await generation.add(tokens_now, is_done=index >= length)
        if not generation.is_done:
            await generation.add([], is_done=True)
        self.counts.answers[hashing.digest(job.prompt.encode())] += 1
        self._free_slot(slot.attempt.attempt_id)

    def _free_slot(self, attempt_id: str) -> None:
        slot = self._slots.pop(attempt_id, None)
        if slot is not None and slot.generation is not None:
            self._running -= 1
        self._record_load()

    def _step_ms(self) -> float:
        others = max(0, self._running - 1)
        step_ms = self.spec.step_base_ms
        step_ms += others * self.spec.step_ms_per_request
        if self._queued_tokens > 0:
            step_ms *= self.spec.prefill_slowdown
        return step_ms

    def _record_load(self) -> None:
        self._history.add(self.load_now(), lag_ms=self.spec.report_lag_ms)

    async def _receive(self, call: str) -> None:
        self._check_alive()
        if self.lag_ms[call]:
            await self._clock.sleep_ms(self.lag_ms[call])
            self._check_alive()

    def _raise_if_answer_lost(self, call: str) -> None:
        if self.lose_answers[call] > 0:
            self.lose_answers[call] -= 1
            raise self._error(client.EngineFault.LOST)

    def _check_alive(self) -> None:
        if self.is_dead:
            raise self._error(client.EngineFault.UNREACHABLE)

    def _check_model(self, model: str) -> None:
        if self.model and model and self.model != model:
            raise self._error(client.EngineFault.REFUSED_MODEL)

    def _error(self, fault: client.EngineFault) -> client.EngineError:
        return client.EngineError(fault, self.name)
