"""Structured logs: one JSON line an event on standard error.

No line carries a token or a prompt. What our own code logs is chosen field
by field; what it does not choose is the text of exceptions and of other
libraries' records, which may quote what they failed on. So an exception is
written as its type and its places in the code, never its message.
"""

from __future__ import annotations

import asyncio
import logging
import sys
import traceback
from typing import Any
from typing import TextIO
from typing import cast

import structlog

from jujubewharf.telemetry import line_writer
from jujubewharf.telemetry import rate_bound

_MAX_FRAMES = 12

# Their records say what our own lines and counters say already, or quote
# addresses and bodies of calls.
_QUIET_LOGGERS = ("aiohttp.access", "urllib3", "opentelemetry")

# The libraries' lines on each start and stop of a part say nothing that ours
# don't; their warnings are kept.
_WARNING_LOGGERS = ("jujubewharf", "mode", "users_platform")


def configure(
    level: str = "info",
    *,
    instance: str = "",
    stream: TextIO | line_writer.LineWriter | None = None,
    max_lines_per_s: int | None = None,
) -> None:
    """Sets up structlog for the process, and routes ``logging`` into it.

    Args:
        level: Lowest level written.
        instance: Bound to every line.
        stream: Where lines go; ``None`` takes standard error.
        max_lines_per_s: Bound of the lines of one kind; ``None`` for none.
    """
    stream = stream or sys.stderr
    bounds: list[structlog.typing.Processor] = []
    if max_lines_per_s is not None:
        bounds.append(rate_bound.RateBound(max_per_s=max_lines_per_s))
    number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[*bounds, *_shared(instance), _renderer()],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(cast(TextIO, stream)),
    )
    handler = logging.StreamHandler(cast(TextIO, stream))
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=[
                structlog.stdlib.add_logger_name,
                *_shared(instance),
            ],
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                _first_line,
                _renderer(),
            ],
            use_get_message=True,
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(number)
    for name in _QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.ERROR)
    for name in _WARNING_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)


def handle_loop_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Logs what the event loop reports, without the failed objects.

    asyncio's own report holds the representation of the exception, whose
    message may quote a body.
    """
    loop.set_exception_handler(_on_loop_error)


def _on_loop_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    error = context.get("exception")
    structlog.get_logger().error(
        "event_loop_error", detail=context.get("message"), exc_info=error
    )


def _shared(instance: str) -> list[structlog.typing.Processor]:
    def add_instance(
        logger: Any, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        event.setdefault("instance", instance)
        return event

    return [
        structlog.contextvars.merge_contextvars,
        add_instance,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso"),
        _safe_exception,
    ]


def _renderer() -> structlog.processors.JSONRenderer:
    return structlog.processors.JSONRenderer(sort_keys=True)


def _safe_exception(
    logger: Any, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Puts an exception's type and places in place of its text."""
    info = event.pop("exc_info", None)
    if not info:
        return event
    if isinstance(info, BaseException):
        error: BaseException | None = info
    elif isinstance(info, tuple):
        error = info[1]
    else:
        error = sys.exc_info()[1]
    if error is not None:
        event["exception"] = type(error).__name__
        event["frames"] = _frames(error)
    return event


def _frames(error: BaseException) -> list[str]:
    frames = traceback.extract_tb(error.__traceback__)[-_MAX_FRAMES:]
    return [f"{f.filename}:{f.lineno} {f.name}" for f in frames]


def _first_line(
    logger: Any, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Cuts other libraries' records to the line that says what happened.

    The lines after it are representations of objects and tracebacks.
    """
    event["event"] = str(event["event"]).partition("\n")[0]
    return event
