"""Exit codes of the program."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit code of the program."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    SETTINGS_INVALID = 3
    CONFLICT = 4
    REJECTED = 5
    UNAVAILABLE = 6
    TIMEOUT = 7
