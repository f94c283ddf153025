"""Exceptions of the package, each with a stable code.

Callers and operators see the code with the message, so a released code never
changes.
"""


class HemlockstandError(Exception):
    """Base of all errors of this package.

    ``code`` is a stable identifier, for example ``table_conflict``.
    """

    code = "internal_error"

    def __init__(self, message: str, code: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code

    def __str__(self) -> str:
        return f"{self.code}: {self.message}"


class SettingsError(HemlockstandError):
    """One or more settings are missing, unknown or out of range."""

    code = "invalid_settings"

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class KernelError(HemlockstandError):
    """A service is unknown, registered twice or part of a dependency cycle."""

    code = "kernel_error"


class PlatformUnavailable(HemlockstandError):
    """The platform did not accept the call; nothing was applied."""

    code = "platform_unavailable"


class ConnectionRefused(PlatformUnavailable):
    """The address refuses connections; nothing was applied.

    No process listens there, or a network device answers in its place.
    """

    code = "connection_refused"


class NotSent(PlatformUnavailable):
    """The caller no longer permitted the call when it was about to be sent."""

    code = "not_sent"


class OutcomeUnknown(HemlockstandError):
    """The call may have been applied; reading the rows shows if it was."""

    code = "outcome_unknown"


class ConnectionLost(OutcomeUnknown):
    """The peer ended the connection during the call."""

    code = "connection_lost"


class TableConflict(HemlockstandError):
    """A row had another version than expected; nothing was applied."""

    code = "table_conflict"

    def __init__(self, keys: list[str]) -> None:
        super().__init__(f"rows changed since they were read: {', '.join(keys)}")
        self.keys = keys


class NotFound(HemlockstandError):
    """The named object does not exist."""

    code = "not_found"


class InvalidInput(HemlockstandError):
    """Input from a caller, operator or peer is malformed."""

    code = "invalid_input"
