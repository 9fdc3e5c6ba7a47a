"""Randomized fault injection against entry cores.

``python -m tests.soak --seeds 200`` runs more seeds than the test suite does.
Each run takes place on virtual time and is determined by its seed. Faults are
killed, paused and restarted instances, network partitions between domains,
engines that crash, stall, lose responses or handle calls late, and a log that
is unavailable or loses responses. Callers disconnect and retry at other
instances.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
from concurrent import futures
import dataclasses
import logging
import random
import sys

import structlog

from jujubewharf import errors
from jujubewharf.experiments import processes
from jujubewharf.experiments import virtual_time
from jujubewharf.requests import model_request
from tests import soak_records
from tests.requests import deployments

INSTANCES = {"e1": "a", "e2": "b", "e3": "c", "e4": "a"}
ENGINES = ("p1", "p2", "d1", "d2", "d3")
_CALLERS = 24
_FAULTS_MS = 25_000
_SETTLE_MS = 45_000
_MAX_ATTEMPTS = 30


class RandomizedRun:
    """One randomized run.

    Args:
        seed: Seed that determines the run.
    """

    def __init__(self, seed: int) -> None:
        self.report = soak_records.Report(seed)
        self.rng = random.Random(seed)
        self.is_over = False
        self.intents: list[soak_records.Intent] = []
        self.ids = 0

    async def run(self) -> soak_records.Report:
        self.d = await deployments.Deployment(
            INSTANCES, prefillers=2, decoders=3, seed=self.report.seed
        ).start()
        callers = [
            asyncio.ensure_future(self._caller(number))
            for number in range(_CALLERS)
        ]
        await self._inject_faults()
        await self._recover()
        await asyncio.wait(callers, timeout=_SETTLE_MS / 1000)
        for number, caller in enumerate(callers):
            if not caller.done():
                self._add_violation(f"caller {number} still waits")
                caller.cancel()
            elif caller.exception() is not None:
                raise caller.exception()
        await self.d.clock.sleep_ms(20_000)
        await self._check()
        await self.d.bench.stop()
        return self.report

    async def _caller(self, number: int) -> None:
        rng = random.Random((self.report.seed << 8) + number)
        clock = self.d.clock
        is_keyed = rng.random() < 0.8
        intent = soak_records.Intent(
            f"key-{number}" if is_keyed else None,
            rng.choice([1, 5, 20, 80, 200]),
            rng.choice([3, 100, 1_500]),
            rng.random() < 0.5,
        )
        self.intents.append(intent)
        await clock.sleep_ms(rng.random() * _FAULTS_MS * 0.8)
        for _ in range(_MAX_ATTEMPTS):
            if rng.random() < 0.25 and is_keyed:
                # The same key is sent to two instances at once.
                await asyncio.gather(
                    self._send(intent, rng), self._send(intent, rng)
                )
            else:
                await self._send(intent, rng)
            if self._is_settled(intent):
                return
            await clock.sleep_ms(200 + rng.random() * 1_500)

    async def _send(
        self, intent: soak_records.Intent, rng: random.Random
    ) -> None:
        self.ids += 1
        name = rng.choice(sorted(INSTANCES))
        request_id = f"{name}~{self.ids:032x}"
        request = self.d.request(
            tokens=intent.tokens,
            words=intent.words,
            key=intent.key or request_id,
            is_repeatable=intent.is_repeatable,
            deadline_ms=15_000,
        )
        request = dataclasses.replace(
            request,
            request_id=request_id,
            key=intent.key or request_id,
        )
        submission = soak_records.Submission(request, name)
        intent.submissions.append(submission)
        timeout_ms = rng.choice([50, 500, 3_000, 20_000])
        if self.is_over:
            timeout_ms = 20_000
        task = asyncio.ensure_future(self._read(intent, submission))
        await asyncio.wait([task], timeout=timeout_ms / 1000)
        if not task.done():
            self.report.faults["hang_up"] += 1
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        submission.is_over = True

    async def _read(
        self, intent: soak_records.Intent, submission: soak_records.Submission
    ) -> None:
        instance = self.d.bench.instances[submission.instance]
        try:
            async for event in instance.answer(submission.request):
                submission.events.append(event)
                self._check_refusal(intent, submission)
        except processes.InstanceLostError:
            return

    def _check_refusal(
        self, intent: soak_records.Intent, submission: soak_records.Submission
    ) -> None:
        """Checks that a refused claim says "did not run" only if true."""
        match submission.end:
            case model_request.Failed(
                errors.ErrorKind.CLAIM_UNAVAILABLE, errors.Ran.NO
            ):
                dispatches = self._dispatches()
                ids = [s.request.request_id for s in intent.submissions]
                if any(dispatches[request_id] for request_id in ids):
                    self._add_violation(
                        f"{intent.key} had run, against a refusal"
                    )

    def _is_settled(self, intent: soak_records.Intent) -> bool:
        """Whether no retry could tell the caller more."""
        for submission in intent.submissions:
            match submission.end:
                case model_request.Finished():
                    return True
                case model_request.Failed(ran=ran):
                    if not intent.is_repeatable and ran is not errors.Ran.NO:
                        return True
        # Without a key, a retry would be a new request.
        return intent.key is None and not intent.is_repeatable

    async def _inject_faults(self) -> None:
        until_ms = self.d.clock.now_ms() + _FAULTS_MS
        while self.d.clock.now_ms() < until_ms:
            await self.d.clock.sleep_ms(100 + self.rng.random() * 1_400)
            fault = self.rng.choice(
                [
                    self._kill,
                    self._pause,
                    self._engine_dies,
                    self._log_down,
                    self._log_loses,
                    self._cut,
                    self._stall,
                    self._lose_answer,
                    self._lose_answer,
                    self._lag,
                ]
            )
            self.report.faults[fault.__name__.strip("_")] += 1
            asyncio.ensure_future(fault())
        # Lets the last fault start before recovery begins.
        await self.d.clock.sleep_ms(1)

    async def _recover(self) -> None:
        self.is_over = True
        bench = self.d.bench
        bench.heal()
        bench.log.is_down = False
        bench.log.lose_answers = 0
        for name in INSTANCES:
            if bench.instances[name].process.is_dead:
                await bench.restart_instance(name)
            else:
                bench.resume_instance(name)
        for name in ENGINES:
            engine = self.d.engine(name)
            engine.lose_answers.clear()
            engine.lag_ms.clear()
            bench.stall_link(name, is_stalled=False)
            if engine.is_dead:
                bench.restart_engine(name)

    async def _kill(self) -> None:
        name = self.rng.choice(sorted(INSTANCES))
        if self.d.bench.instances[name].process.is_dead:
            return
        self.d.bench.kill_instance(name)
        await self.d.clock.sleep_ms(self.rng.random() * 4_000)
        if self.d.bench.instances[name].process.is_dead and not self.is_over:
            await self.d.bench.restart_instance(name)

    async def _pause(self) -> None:
        name = self.rng.choice(sorted(INSTANCES))
        instance = self.d.bench.instances[name]
        if instance.process.is_dead or instance.process.is_paused:
            return
        instance.process.pause()
        await self.d.clock.sleep_ms(self.rng.choice([300, 3_000, 12_000]))
        if not instance.process.is_dead and instance.process.is_paused:
            instance.process.resume()

    async def _engine_dies(self) -> None:
        engine = self.d.engine(self.rng.choice(ENGINES))
        if engine.is_dead:
            return
        await self.d.bench.kill_engine(engine.name)
        await self.d.clock.sleep_ms(self.rng.random() * 5_000)
        if engine.is_dead:
            self.d.bench.restart_engine(engine.name)

    async def _log_down(self) -> None:
        self.d.bench.log.is_down = True
        await self.d.clock.sleep_ms(self.rng.random() * 4_000)
        self.d.bench.log.is_down = False

    async def _log_loses(self) -> None:
        self.d.bench.log.lose_answers = self.rng.randint(1, 3)

    async def _cut(self) -> None:
        self.d.bench.cut_domain(
            self.rng.choice("abc"),
            from_log=self.rng.random() < 0.5,
            from_list=self.rng.random() < 0.5,
            from_engines_elsewhere=self.rng.random() < 0.5,
        )
        await self.d.clock.sleep_ms(self.rng.choice([500, 6_000]))
        self.d.bench.heal()

    async def _stall(self) -> None:
        name = self.rng.choice(ENGINES)
        self.d.bench.stall_link(name)
        await self.d.clock.sleep_ms(self.rng.random() * 3_000)
        self.d.bench.stall_link(name, is_stalled=False)

    async def _lose_answer(self) -> None:
        engine = self.d.engine(self.rng.choice(ENGINES))
        call = self.rng.choice(["reserve", "release", "import_kv", "decode"])
        engine.lose_answers[call] += self.rng.randint(1, 3)

    async def _lag(self) -> None:
        engine = self.d.engine(self.rng.choice(ENGINES))
        call = self.rng.choice(["reserve", "release"])
        engine.lag_ms[call] = self.rng.choice([20, 400, 2_500])
        await self.d.clock.sleep_ms(2_000)
        engine.lag_ms[call] = 0

    async def _check(self) -> None:
        dispatches = self._dispatches()
        for intent in self.intents:
            self._check_intent(intent, dispatches)
        for item in await self.d.held():
            self._add_violation(f"memory is held by {item}")
        for name in INSTANCES:
            core = self.d.core(name)
            if core.answers.running:
                self._add_violation(f"{name} still runs {core.answers.running}")

    def _dispatches(self) -> collections.Counter:
        """Counts how often engines started to decode, by request id."""
        counts: collections.Counter = collections.Counter()
        for engine in self.d.bench.engines.values():
            for attempt_id, count in engine.counts.dispatches.items():
                counts[attempt_id.rpartition(".")[0]] += count
        return counts

    def _check_intent(
        self, intent: soak_records.Intent, dispatches: collections.Counter
    ) -> None:
        ids = [
            submission.request.request_id for submission in intent.submissions
        ]
        ran = sum(dispatches[request_id] for request_id in ids)
        name = intent.key or ids[0]
        if not intent.is_repeatable and ran > 1:
            self._add_violation(f"{name} was dispatched {ran} times")
        full_text = deployments.expected(intent.tokens, intent.words)
        for submission in intent.submissions:
            self._check_submission(submission, full_text, dispatches)
        if not self._is_settled(intent):
            self._add_violation(f"{name} never got an answer")

    def _check_submission(
        self,
        submission: soak_records.Submission,
        full_text: str,
        dispatches: collections.Counter,
    ) -> None:
        request_id = submission.request.request_id
        text = deployments.text_of(submission.events)
        end = submission.end
        label = type(end).__name__ if end else "HungUp"
        if isinstance(end, model_request.Failed):
            label = f"{end.kind.value}/{end.ran.value}"
            if end.ran is errors.Ran.NO and dispatches[request_id]:
                self._add_violation(f"{request_id} ran, against {label}")
            if end.kind is errors.ErrorKind.INTERNAL:
                self._add_violation(f"{request_id} crashed")
        self.report.ends[label] += 1
        if isinstance(end, model_request.Finished) and text != full_text:
            self._add_violation(f"{request_id} is not whole")
        if not full_text.startswith(text):
            self._add_violation(
                f"{request_id} got another's text, a gap or a repeat"
            )
        ends = [e for e in submission.events if not _is_tokens(e)]
        if len(ends) > 1:
            self._add_violation(f"{request_id} ended {len(ends)} times")

    def _add_violation(self, what: str) -> None:
        self.report.violations.append(what)


def _is_tokens(event: model_request.Event) -> bool:
    return isinstance(event, model_request.Tokens)


def run_seed(seed: int) -> soak_records.Report:
    """Runs one seed."""
    return virtual_time.run(RandomizedRun(seed).run())


def _disable_logs() -> None:
    """Disables logging in a worker process."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    logging.disable(logging.CRITICAL)


def main() -> int:
    """Runs many seeds.

    Returns:
        The exit code: 1 if any check failed, else 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--workers", type=int, default=3)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    faults: collections.Counter = collections.Counter()
    ends: collections.Counter = collections.Counter()
    failed = 0
    with futures.ProcessPoolExecutor(
        options.workers, initializer=_disable_logs
    ) as pool:
        for report in pool.map(run_seed, seeds):
            faults += report.faults
            ends += report.ends
            failed += bool(report.violations)
            for violation in report.violations:
                print(f"seed {report.seed}: {violation}", flush=True)
    print(f"{len(seeds)} seeds, {failed} failed")
    print(f"faults: {sum(faults.values())} {dict(sorted(faults.items()))}")
    print(f"submissions: {sum(ends.values())} {dict(sorted(ends.items()))}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
