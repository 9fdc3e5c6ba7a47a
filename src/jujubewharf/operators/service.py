"""The operator service, callable in process; ``server`` adds gRPC."""

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
    """Entry point of all operator calls at one instance.

    Args:
        core: Core of the instance.

    Attributes:
        editor: Changes the configuration.
        queries: Reads the configuration.
        inspector: Reports the status of the instance.
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
        """Whether this instance has loaded the configuration."""
        return self._backend.is_caught_up

    def identify(self, token: str) -> values.Identity:
        """Returns the identity that a token belongs to.

        Raises:
            WharfError: ``UNAUTHENTICATED`` if no identity has this token;
                ``NOT_READY`` if the configuration is not loaded yet.
        """
        if not self.is_ready:
            # Without a configuration every token would look invalid.
            kind = errors.ErrorKind.NOT_READY
            raise errors.WharfError(kind, retry_after_ms=_RETRY_AFTER_MS)
        return self._identities.authenticate(token)
