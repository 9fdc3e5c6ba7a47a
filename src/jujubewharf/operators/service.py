"""The operator service, callable in process; ``server`` puts it on gRPC."""

from __future__ import annotations

from jujubewharf import core as cores
from jujubewharf import errors
from jujubewharf.operators import backend as backends
from jujubewharf.operators import editing
from jujubewharf.operators import identities
from jujubewharf.operators import inspection
from jujubewharf.operators import queries
from jujubewharf.operators import values

_RETRY_AFTER_MS = 1_000.0


class OperatorService:
    """Everything that operators can ask of one instance.

    Args:
        core: The instance.

    Attributes:
        editor: Changes.
        queries: Questions about the configuration.
        inspector: Questions about the instance.
    """

    def __init__(self, core: cores.EntryCore) -> None:
        self._backend = backends.CoreBackend(core)
        self._identities = identities.Identities(
            lambda: self._backend.state,
            core.settings.operators.bootstrap_token_sha256,
        )
        self.editor = editing.Editor(self._backend, core.clock)
        self.queries = queries.Queries(self._backend, core.clock)
        self.inspector = inspection.Inspector(core, self._backend)

    @property
    def is_ready(self) -> bool:
        """Whether this instance knows the configuration."""
        return self._backend.is_caught_up

    def identify(self, token: str) -> values.Identity:
        """The identity behind a token.

        Raises:
            WharfError: ``UNAUTHENTICATED``; ``NOT_READY`` when this instance
                has not read the configuration yet.
        """
        if not self.is_ready:
            # On an empty state every token would look unknown for good.
            kind = errors.ErrorKind.NOT_READY
            raise errors.WharfError(kind, retry_after_ms=_RETRY_AFTER_MS)
        return self._identities.of_token(token)
