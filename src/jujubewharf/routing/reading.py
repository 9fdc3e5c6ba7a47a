"""Expected times of prefill and transfer, learned from what they took."""

from __future__ import annotations

import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs

_PRIOR_MS_PER_TOKEN = 0.1
_WEIGHT_OF_NEW = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A prompt that is being read for one of this instance's requests.

    Attributes:
        engine: Where.
        tokens: Its length.
        began_ms: When it was sent.
        ahead_tokens: Tokens thought to be ahead of it then.
    """

    engine: str
    tokens: int
    began_ms: float
    ahead_tokens: float


class Reading:
    """What this instance knows of how fast engines read.

    Args:
        clock: Time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._ms_per_token: dict[str, float] = {}
        self._mean_ms_per_token = _PRIOR_MS_PER_TOKEN
        self._reads: dict[int, Read] = {}

    def ms_per_token(self, engine: str) -> float:
        """Reading time of a token; that of its like for a new engine."""
        return self._ms_per_token.get(engine, self._mean_ms_per_token)

    def queued_tokens(self, view: fleets.EngineView) -> float:
        """Tokens ahead of a new prompt.

        Reports lag, so this instance's own reads that a report can't show
        yet are added, and of older ones the larger of both is believed.
        """
        reported, heard_ms = _last_word(view)
        own_all = own_unseen = 0
        for read in self._reads.values():
            if read.engine != view.endpoint.name:
                continue
            own_all += read.tokens
            if read.began_ms >= heard_ms:
                own_unseen += read.tokens
        return max(float(own_all), reported + own_unseen)

    def wait_ms(self, view: fleets.EngineView) -> float:
        """Expected wait until a new prompt's turn comes."""
        rate = self.ms_per_token(view.endpoint.name)
        return self.queued_tokens(view) * rate

    def read_ms(self, view: fleets.EngineView, tokens: float) -> float:
        """Expected time from sending a prompt until it was read."""
        rate = self.ms_per_token(view.endpoint.name)
        return self.wait_ms(view) + tokens * rate

    def begin(
        self, job: jobs.Job, view: fleets.EngineView, at_ms: float
    ) -> None:
        """Notes that a prompt is sent now or soon."""
        self._reads[job.number] = Read(
            view.endpoint.name,
            job.prompt_tokens,
            at_ms,
            self.queued_tokens(view),
        )

    def done(self, number: int) -> Read | None:
        """Learns from a prompt that was read."""
        read = self._reads.pop(number, None)
        if read is None:
            return None
        work = read.tokens + read.ahead_tokens
        took_ms = self._clock.now_ms() - read.began_ms
        sample = took_ms / max(1.0, work)
        known = self.ms_per_token(read.engine)
        learned = known + _WEIGHT_OF_NEW * (sample - known)
        self._ms_per_token[read.engine] = learned
        mean = self._mean_ms_per_token
        self._mean_ms_per_token = mean + _WEIGHT_OF_NEW * (sample - mean)
        return read

    def dropped(self, number: int) -> None:
        """Forgets a prompt whose reading failed or was cancelled."""
        self._reads.pop(number, None)


def _last_word(view: fleets.EngineView) -> tuple[int, float]:
    """Queued tokens by the keeper or else by report, and when it came."""
    if (
        view.has_digest
        and view.digest is not None
        and view.digest_ms is not None
    ):
        return view.digest.queued_tokens, view.digest_ms
    if view.report is not None and view.heard_ms is not None:
        return view.report.prefill_queued_tokens, view.heard_ms
    return 0, 0.0


def transfer_ms(
    source: fleets.EngineView, target: fleets.EngineView, kv_bytes: float
) -> float:
    """Time a KV transfer takes on free links, as they are configured."""
    rate = min(
        source.endpoint.link_bytes_per_s, target.endpoint.link_bytes_per_s
    )
    return kv_bytes / rate * clocks.MS_PER_S
