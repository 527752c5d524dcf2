"""Exit codes of the `wigeonmill` command, which scripts rely on."""

import enum


class ExitCode(enum.IntEnum):
    """The exit code of a command; the values must never change."""

    OK = 0
    # Faults were found, processes are behind, or nothing was found.
    NEGATIVE = 1
    # The command line or the settings are wrong.
    USAGE = 2
    # Another operator's change was accepted first; nothing was written.
    CONFLICT = 3
    # The key-value service did not answer; nothing was written.
    UNAVAILABLE = 4
    # The reply was lost; the change may have been accepted.
    UNKNOWN = 5
