"""A router for plain services and for models with prefill and decode pools."""

__version__ = "0.1.0"
