"""Structured logs: one JSON line an event on standard error."""

from __future__ import annotations

import logging
import sys

import structlog


def configure(level: str = "info", *, instance: str = "") -> None:
    """Sets up structlog for the process.

    Args:
        level: Lowest level written.
        instance: Bound to every line.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    structlog.contextvars.bind_contextvars(instance=instance)
