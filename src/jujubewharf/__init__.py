"""A router for separate prefill and decode pools, beside plain services."""

__version__ = "0.1.0"
