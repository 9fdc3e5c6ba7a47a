"""The registry of peer messages: frozen data classes with a number each.

Each concern declares its messages in a module ``peers/<concern>_messages.py``
with the decorator ``message``. Numbers are never used twice. Fields must be
of types that msgpack carries; a nested data class is declared as such and
converted by the codec. A receiver leaves unknown fields aside, and a field
that older senders lack needs a default.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Base of all peer messages."""


TYPE_OF_NUMBER: dict[int, type[Message]] = {}
NUMBER_OF_TYPE: dict[type[Message], int] = {}


def message(number: int) -> Callable[[type], type]:
    """Registers a data class as the message with this number.

    Raises:
        ValueError: The number is taken.
    """

    def register(cls: type) -> type:
        if number in TYPE_OF_NUMBER:
            raise ValueError(f"message number {number} is taken")
        TYPE_OF_NUMBER[number] = cls
        NUMBER_OF_TYPE[cls] = number
        return cls

    return register
