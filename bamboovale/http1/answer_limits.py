"""The bounds of what is read of an answer, by their names in logs and counters."""

from enum import StrEnum


class AnswerLimit(StrEnum):
    """A bound that an answer exceeded, so that it was cut."""

    HEAD = "head"
    INTERIM = "interim"
    LINE = "line"
    BODY = "body"
    EVENT = "event"
