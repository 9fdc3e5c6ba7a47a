"""Structured logs: one JSON line per event, on standard error by default.

Log lines must not contain tokens or prompts. The messages of exceptions and of
other libraries' records may quote their input. So exceptions are logged with
their type and stack frames but without their message, and other libraries'
records are cut to their first line.
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
from jujubewharf.telemetry import log_rate_limiter

_MAX_FRAMES = 12

# Loggers limited to errors: their records repeat our own log lines and
# metrics, or quote addresses and bodies.
_ERROR_LOGGERS = ("aiohttp.access", "urllib3", "opentelemetry")

# Loggers limited to warnings: `mode` logs each start and stop of a service.
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
        level: Lowest level that is logged.
        instance: Name of the instance, added to every line.
        stream: Stream to write to; ``None`` selects standard error.
        max_lines_per_s: Rate limit for the lines of each event; ``None``
            disables it.
    """
    stream = stream or sys.stderr
    limiters: list[structlog.typing.Processor] = []
    if max_lines_per_s is not None:
        limiters.append(
            log_rate_limiter.LogRateLimiter(max_per_s=max_lines_per_s)
        )
    level_number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[*limiters, *_shared_processors(instance), _renderer()],
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
        logger_factory=structlog.WriteLoggerFactory(cast(TextIO, stream)),
    )
    handler = logging.StreamHandler(cast(TextIO, stream))
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=[
                structlog.stdlib.add_logger_name,
                *_shared_processors(instance),
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
    root.setLevel(level_number)
    for name in _ERROR_LOGGERS:
        logging.getLogger(name).setLevel(logging.ERROR)
    for name in _WARNING_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)


def handle_loop_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Logs errors that the event loop reports.

    asyncio's own log records contain the exception's message, which may quote
    a request body.
    """
    loop.set_exception_handler(_on_loop_error)


def _on_loop_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    error = context.get("exception")
    structlog.get_logger().error(
        "event_loop_error", detail=context.get("message"), exc_info=error
    )


def _shared_processors(instance: str) -> list[structlog.typing.Processor]:
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
    """Replaces an exception by its type and stack frames."""
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
    """Cuts other libraries' records to their first line.

    Further lines hold tracebacks and object representations.
    """
    event["event"] = str(event["event"]).partition("\n")[0]
    return event
