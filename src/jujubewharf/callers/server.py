"""Connections of the own callers' edge, which get protocol errors as JSON.

aiohttp itself responds to requests that it can't parse, e.g. with a malformed
request line or an oversized header. It does so in plain text, before any
handler or middleware runs.
"""

from __future__ import annotations

from aiohttp import web

from jujubewharf import errors
from jujubewharf.callers import error_responses
from jujubewharf.connections import bounded_server


class JsonErrorHandler(bounded_server.BoundedHandler):
    """Protocol of a connection that sends errors as JSON."""

    def error_response(self, status: int) -> web.Response:
        """Returns the response to what is no allowed request."""
        kind = errors.ErrorKind.BAD_REQUEST
        return error_responses.error_response(kind, errors.Ran.NO)
