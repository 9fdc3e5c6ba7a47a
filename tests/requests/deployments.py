"""A small deployment on the test bench for tests of requests."""

from __future__ import annotations

import itertools

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.experiments import bench as benches
from jujubewharf.requests import model_request
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs
from jujubewharf.standins import engine as engines

SERVICE = "verdict-llm"


class ScriptedPolicy:
    """A policy that takes the first engine of a list that is not excluded.

    Args:
        decoders: Names of decode engines in order of preference.
        prefillers: Names of prefill engines in order of preference; empty for
            prefill on the decode engines.
        reserve_after_ms: Clock reading at which the slot is reserved.
        chooses_decode_late: Whether to choose the decode engine after prefill.
    """

    def __init__(
        self,
        decoders,
        prefillers=(),
        *,
        reserve_after_ms=0,
        chooses_decode_late=False,
    ):
        self.decoders = decoders
        self.prefillers = prefillers
        self.reserve_after_ms = reserve_after_ms
        self.chooses_decode_late = chooses_decode_late

    def place(self, job: jobs.Job, fleet: fleets.Fleet) -> jobs.Decision:
        decode = self._first(self.decoders, job, fleet)
        prefill = self._first(self.prefillers, job, fleet)
        if decode is None or (self.prefillers and prefill is None):
            return jobs.Refusal(errors.ErrorKind.NO_FITTING_ENGINE)
        if self.chooses_decode_late:
            return jobs.Choice(None, prefill)
        return jobs.Choice(decode, prefill, reserve_at_ms=self.reserve_after_ms)

    def place_decode(self, job: jobs.Job, fleet: fleets.Fleet) -> jobs.Decision:
        decode = self._first(self.decoders, job, fleet)
        if decode is None:
            return jobs.RetryLater(5.0)
        return jobs.Choice(decode)

    def _first(self, names, job, fleet):
        views = [fleet.view(name) for name in names]
        for view in views:
            if view and view.takes_work:
                if view.endpoint.name not in job.excluded:
                    return view.endpoint
        return None


class Deployment:
    """Prefill engines ``p1..``, decode engines ``d1..``, and instances.

    Args:
        instances: Failure domain of each instance, by name.
        prefillers: Number of prefill engines.
        decoders: Number of decode engines.
        policy: Policy of every instance; ``None`` for the default one.
        service: Fields of the service.
        specs: Fields of an engine's spec, by engine name.
        seed: Seed of the bench.
        retention: Retention periods of claims; ``None`` for the default.
    """

    def __init__(
        self,
        instances=None,
        *,
        prefillers=2,
        decoders=2,
        policy=None,
        service=None,
        specs=None,
        seed=1,
        retention=None,
        **bench,
    ):
        self.bench = benches.Bench(seed=seed, **bench)
        self.clock = self.bench.clock
        self.policy = policy
        self.service = resources.Service(
            SERVICE,
            resources.ServiceKind.MODEL,
            model="judge",
            **(service or {}),
        )
        self._instances = instances or {"e1": "a"}
        self._names = [f"p{i + 1}" for i in range(prefillers)]
        self._names += [f"d{i + 1}" for i in range(decoders)]
        self._specs = specs or {}
        self._retention = retention
        self._numbers = itertools.count(1)

    async def start(self):
        await self.bench.declare(self.service)
        domains = sorted(set(self._instances.values()))
        for place, name in enumerate(self._names):
            await self._add_engine(name, domains[place % len(domains)])
        for name, domain in self._instances.items():
            await self.bench.start_instance(name, domain, policy=self.policy)
            self._set_retention(name)
        await self.clock.sleep_ms(2_500)
        return self

    async def restart(self, name):
        await self.bench.restart_instance(name)
        self._set_retention(name)

    def _set_retention(self, name):
        if self._retention is not None:
            self.core(name).claims._retention = self._retention

    async def _add_engine(self, name, domain):
        is_prefill = name.startswith("p")
        role = resources.Role.PREFILL if is_prefill else resources.Role.DECODE
        fields = dict(self._specs.get(name, {}))
        capabilities = fields.get("capabilities", resources.Capabilities())
        endpoint = resources.Endpoint(
            name,
            SERVICE,
            f"127.0.0.1:{name}",
            domain,
            role,
            capabilities=capabilities,
        )
        spec = engines.EngineSpec(role=role.value, model="judge", **fields)
        self.bench.add_engine(endpoint, spec)
        await self.bench.declare(endpoint)

    def engine(self, name) -> engines.Engine:
        return self.bench.engines[f"127.0.0.1:{name}"]

    def core(self, name="e1"):
        return self.bench.instances[name].core

    def counts(self, name="e1"):
        return self.core(name).runner.counts

    def request(self, *, tokens=20, words=400, key=None, **fields):
        number = next(self._numbers)
        request_id = model_request.new_request_id(f"t{number}")
        fields.setdefault("prompt", prompt(tokens, words))
        return model_request.ModelRequest(
            request_id=request_id,
            key=key or request_id,
            body_digest=fields.pop("body_digest", "body"),
            account="",
            service=self.service,
            max_tokens=1_000,
            arrived_ms=self.clock.now_ms(),
            deadline_ms=fields.pop("deadline_ms", 20_000),
            **fields,
        )

    async def ask(self, request, name="e1"):
        """Returns all events of an answer."""
        events = self.bench.instances[name].answer(request)
        return [event async for event in events]

    def dispatches(self) -> int:
        return sum(
            sum(engine.counts.dispatches.values())
            for engine in self.bench.engines.values()
        )

    async def held(self) -> list[str]:
        """Returns the attempts for which running engines hold memory."""
        return [
            f"{engine.name}:{item.attempt.attempt_id}"
            for engine in self.bench.engines.values()
            if not engine.is_dead
            for item in await engine.held()
        ]


def prompt(tokens=20, words=400) -> str:
    return f"answer_tokens={tokens} " + "word " * words


def text_of(events) -> str:
    return "".join(
        text
        for event in events
        if isinstance(event, model_request.Tokens)
        for text in event.texts
    )


def expected(tokens=20, words=400) -> str:
    asked = prompt(tokens, words)
    return "".join(engines.answer_token(asked, i) for i in range(tokens))


def is_whole(events, tokens=20, words=400) -> bool:
    """Whether the answer is complete, without gap or repeat."""
    finished = isinstance(events[-1], model_request.Finished)
    return finished and text_of(events) == expected(tokens, words)


def kind_of(end):
    """Returns the kind of a failure; ``None`` for an answer."""
    return getattr(end, "kind", None)


def ran_of(end):
    """Returns the ``ran`` field of a failure; ``None`` for an answer."""
    return getattr(end, "ran", None)
