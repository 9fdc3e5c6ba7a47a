"""Registry of peer messages: frozen dataclasses, each with a unique number.

Messages are declared in modules ``peers/<topic>_messages.py`` with the
decorator ``message``. Numbers are never reused. Fields must be of types that
msgpack supports; nested dataclasses are converted by the codec. Receivers
ignore unknown fields, and fields that older senders lack need a default.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Base class of all peer messages."""


TYPE_OF_NUMBER: dict[int, type[Message]] = {}
NUMBER_OF_TYPE: dict[type[Message], int] = {}


def message(number: int) -> Callable[[type], type]:
    """Registers a dataclass as the message with the given number.

    Raises:
        ValueError: The number is already in use.
    """

    def register(cls: type) -> type:
        if number in TYPE_OF_NUMBER:
            raise ValueError(f"message number {number} is already in use")
        TYPE_OF_NUMBER[number] = cls
        NUMBER_OF_TYPE[cls] = number
        return cls

    return register
