"""Exit codes of hemlockctl; ``docs/operators.md`` explains them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of the process."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_SHEET = 3
    CONFLICT = 4
    CONFIRMATION_NEEDED = 5
    REFUSED = 6
    UNAUTHORIZED = 7
    UNREACHABLE = 8
    OUTCOME_UNKNOWN = 9
    NOT_AVAILABLE = 10
    NOT_IN_FORCE = 11


EXIT_BY_ERROR = {
    "usage": ExitCode.USAGE,
    "invalid_sheet": ExitCode.INVALID_SHEET,
    "configuration_conflict": ExitCode.CONFLICT,
    "drops_not_confirmed": ExitCode.CONFIRMATION_NEEDED,
    "not_found": ExitCode.REFUSED,
    "already_exists": ExitCode.REFUSED,
    "invalid_input": ExitCode.REFUSED,
    "body_too_large": ExitCode.REFUSED,
    "unauthorized": ExitCode.UNAUTHORIZED,
    "daemon_unreachable": ExitCode.UNREACHABLE,
    "platform_unavailable": ExitCode.UNREACHABLE,
    "outcome_unknown": ExitCode.OUTCOME_UNKNOWN,
    "not_leader": ExitCode.NOT_AVAILABLE,
    "not_available": ExitCode.NOT_AVAILABLE,
    "unknown_path": ExitCode.NOT_AVAILABLE,
}
