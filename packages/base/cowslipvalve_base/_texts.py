"""Enumerations that are written as text."""

import enum


class TextEnum(str, enum.Enum):  # noqa: UP042
    """Base of enumerations whose members are written as text."""

    def __str__(self) -> str:
        return str(self.value)
