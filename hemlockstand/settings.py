"""Settings: attrs classes per section, read from INI files and checked.

The user's file overrides the shipped ``defaults.ini``. All problems are found
before anything starts and reported together, each with file, section, key and
value::

    settings = load_settings("entry-1.ini")
    settings.keys.freshness_seconds
"""

import os
from collections.abc import Callable, Iterator
from configparser import ConfigParser, Error as ConfigParserError
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

import attrs
from attrs import Attribute, field, frozen

from hemlockstand.errors import SettingsError
from hemlockstand.serving.budget import BODY_FACTOR
from hemlockstand.serving.settings import (
    CALLERS_SHARE,
    OPERATORS_SHARE,
    ClientSettings,
)
from hemlockstand.setting_options import option
from hemlockstand.sheet.reader import MAX_SHEET_BYTES

DEFAULTS_FILE = Path(__file__).with_name("defaults.ini")

_BOOLEANS = {"yes": True, "true": True, "on": True, "1": True} | {
    "no": False,
    "false": False,
    "off": False,
    "0": False,
}


@frozen
class DaemonSettings:
    """Identity of this daemon."""

    name: str = option("Unique name of the daemon, as in the instance list.")
    region: str = option("Region of the daemon.")
    data_centre: str = option("Data centre of the daemon.")
    data_centres: tuple[str, ...] = option(
        "All data centres that run entry instances, separated by commas."
    )
    balancer_lag_seconds: float = option(
        "Time for which the balancer may still send to a daemon that is not ready.",
        0,
        120,
    )


@frozen
class ListenSettings:
    """Addresses the daemon listens on."""

    host: str = option("IP address to listen on and to announce to peers.")
    caller_port: int = option("TCP port for callers.", 0, 65535)
    operator_port: int = option("TCP port for operators and metrics.", 0, 65535)
    peer_port: int = option("TCP port for other daemons.", 0, 65535)


@frozen
class PlatformSettings:
    """Calls to the platform."""

    url: str = option("Base URL of the platform's service.")
    timeout_seconds: float = option("Timeout of one platform call.", 0.05, 60)
    instance_poll_seconds: float = option(
        "Interval between reads of the instance list.", 0.1, 60
    )


@frozen
class PeerSettings:
    """Messages between daemons."""

    secret: str = option(
        "Shared secret of the deployment, 16 characters or more.", secret=True
    )
    interval_seconds: float = option("Interval between heartbeats.", 0.1, 30)
    timeout_seconds: float = option("Timeout of one peer call.", 0.05, 30)
    suspect_after_seconds: float = option(
        "Time without news of a peer after which it no longer counts as alive.",
        0.5,
        300,
    )
    seeds: tuple[str, ...] = option(
        "Peer addresses (IP:PORT) to try while no peer is known, for example at "
        "a start when the instance list does not answer; may be empty.",
        may_be_empty=True,
    )


@frozen
class ConfigurationSettings:
    """The daemon's copy of the configuration."""

    poll_seconds: float = option(
        "Interval between reads of new changes from the platform.", 0.1, 60
    )
    snapshot_every: int = option(
        "Number of changes between two snapshots.", 10, 100_000
    )
    drop_fraction: float = option(
        "Part of teams, pools or wanted jobs that a sheet may drop without "
        "confirmation.",
        0,
        1,
    )


@frozen
class KeySettings:
    """Validity of keys."""

    freshness_seconds: float = option(
        "Largest age of the newest proof that the daemon's configuration is current; "
        "beyond it, requests with a key are refused.",
        1,
        60,
    )


@frozen
class LimitSettings:
    """Slots of the teams' limits that this daemon holds."""

    lease_seconds: float = option("Validity of the lease on the held slots.", 1, 600)
    renew_seconds: float = option("Interval between renewals of the lease.", 0.2, 300)
    margin_seconds: float = option(
        "Safety margin added to the lease and the longest deadline before the slots "
        "of a daemon that has stopped renewing are reclaimed.",
        0.1,
        60,
    )
    reserved_fraction: float = option(
        "Part of each limit that is reserved for the data centres in equal shares.",
        0,
        1,
    )
    rebalance_seconds: float = option(
        "Interval between rounds that move slots between daemons, and the shortest "
        "time between two such moves for a team.",
        0.05,
        60,
    )


@frozen
class RequestSettings:
    """Admission and execution of requests."""

    max_body_bytes: int = option("Largest request body.", 1, 1 << 30)
    max_deadline_seconds: float = option(
        "Longest deadline granted to a request.", 0.1, 3600
    )
    queue_length: int = option(
        "Largest number of requests that wait at this daemon for one pool.",
        1,
        1_000_000,
    )
    batch_fraction: float = option(
        "Part of a full pool that batch queues get at least while they have requests "
        "waiting.",
        0,
        0.9,
    )
    retry_fraction: float = option("Retries allowed per first try.", 0, 1)
    claim_batch_seconds: float = option(
        "Time for which claims of orders are collected before one transaction writes "
        "them.",
        0,
        1,
    )
    result_keep_seconds: float = option(
        "Time for which results are kept for callers who ask again.", 1, 86_400
    )
    max_kept_results: int = option(
        "Largest number of results that are kept.", 1, 1_000_000
    )


@frozen
class JobSettings:
    """Placement of jobs."""

    enabled: bool = option("Whether this daemon places jobs.")
    interval_seconds: float = option("Interval between placement rounds.", 0.05, 60)
    lease_seconds: float = option("Validity of the lease of a running task.", 2, 3600)
    headroom: float = option(
        "Factor by which the observed usage is multiplied to size a task.", 1, 4
    )
    writes_per_second: float = option(
        "Largest rate at which this daemon writes job rows.", 1, 1000
    )


@frozen
class MaintenanceSettings:
    """Maintenance waves, moves and buffers."""

    enabled: bool = option("Whether this daemon maintains instances.")
    interval_seconds: float = option("Interval between maintenance rounds.", 0.05, 300)
    max_bad_instances: int = option(
        "Number of instances of a wave that failed to return healthy from a reboot "
        "at which the wave halts.",
        1,
        100,
    )
    health_wait_seconds: float = option(
        "Time an instance may take to become healthy after a reboot.", 1, 86_400
    )
    share_weight: float = option(
        "Weight of the share error in the cost of a buffer plan.", 0, 100
    )
    buffer_weight: float = option(
        "Weight of idle instances in the cost of a buffer plan.", 0, 100
    )
    move_weight: float = option(
        "Weight of moved instances in the cost of a buffer plan.", 0, 100
    )


@frozen
class OperatorSettings:
    """Operator interface."""

    token: str = option("Bearer token of the operators.", secret=True)


@frozen
class LogSettings:
    """Logs."""

    level: str = option(
        "Lowest level of the messages that are written.",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    )
    format: str = option("Format of a log line.", choices=("json", "text"))


@frozen
class TraceSettings:
    """Traces."""

    export: str = option(
        "Where finished spans are written.", choices=("none", "log", "file")
    )
    file: str = option("File that receives the spans if export is file.")
    sample_fraction: float = option("Part of new traces that is recorded.", 0, 1)


@frozen
class ValueSource:
    """Where the value of an optional setting comes from."""

    section: str
    key: str
    value: Any
    source: str


@frozen
class Settings:
    """All sections, and where the values of optional settings come from."""

    daemon: DaemonSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings
    configuration: ConfigurationSettings
    keys: KeySettings
    limits: LimitSettings
    requests: RequestSettings
    jobs: JobSettings
    maintenance: MaintenanceSettings
    operators: OperatorSettings
    log: LogSettings
    trace: TraceSettings
    clients: ClientSettings
    sources: tuple[ValueSource, ...] = field(default=(), eq=False)


def list_sections(kind: type) -> dict[str, type]:
    """Return the classes of the sections of a settings class, by name."""
    hints = get_type_hints(kind)
    return {name: hint for name, hint in hints.items() if attrs.has(hint)}


def name_variable(section: str, key: str) -> str:
    """Return the environment variable that gives an optional setting.

    It is read where the settings file does not give the setting.
    """
    return f"HEMLOCKD_{section}_{key}".upper()


def load_settings(path: str | Path) -> Settings:
    """Read the defaults and the user's file and check all settings.

    Raises ``SettingsError`` with all problems found.
    """
    return read_settings(Settings, DEFAULTS_FILE, path, _check_relations)


SettingsType = TypeVar("SettingsType")
RelationCheck = Callable[[dict[str, Any], Path], Iterator[str]]


def read_settings(
    kind: type[SettingsType],
    defaults: Path,
    path: str | Path,
    check_relations: RelationCheck,
) -> SettingsType:
    """Read the sections of a settings class from the defaults and a file.

    ``check_relations`` yields the problems between sections. Raises
    ``SettingsError`` with all problems found.
    """
    parser = ConfigParser(interpolation=None)
    problems: list[str] = []
    for source in (defaults, Path(path)):
        problems.extend(_read_file(parser, source))
    if problems:
        # After a line that it cannot read, the parser leaves values
        # incomplete, so they cannot be checked.
        raise SettingsError(problems)
    problems.extend(_find_unknown(parser, kind, Path(path)))
    sections: dict[str, Any] = {}
    sources: list[ValueSource] = []
    for section, section_kind in list_sections(kind).items():
        values, found = _read_section(
            parser, section, section_kind, Path(path), sources
        )
        problems.extend(found)
        if not found:
            sections[section] = section_kind(**values)
    if not problems:
        problems.extend(check_relations(sections, Path(path)))
    if problems:
        raise SettingsError(problems)
    return kind(**sections, sources=tuple(sources))


def _read_file(parser: ConfigParser, path: Path) -> Iterator[str]:
    try:
        with path.open(encoding="utf-8") as stream:
            parser.read_file(stream, source=str(path))
    except OSError as error:
        yield f"{path}: cannot be read: {error.strerror}"
    except (ConfigParserError, UnicodeDecodeError) as error:
        yield f"{path}: {' '.join(str(error).split())}"


def _find_unknown(parser: ConfigParser, kind: type, path: Path) -> Iterator[str]:
    kinds = list_sections(kind)
    for section in parser.sections():
        if section not in kinds:
            yield f"{path}: unknown section [{section}]"
            continue
        known = {attribute.name for attribute in attrs.fields(kinds[section])}
        for key, value in parser.items(section):
            if key not in known:
                yield f"{path}: [{section}] unknown key {key!r} with value {value!r}"


def _read_section(
    parser: ConfigParser,
    section: str,
    kind: type,
    path: Path,
    sources: list[ValueSource],
) -> tuple[dict[str, Any], list[str]]:
    """Return the values of a section and its problems.

    Adds where the values of optional settings come from to ``sources``.
    """
    values: dict[str, Any] = {}
    problems: list[str] = []
    hints = get_type_hints(kind)
    for attribute in attrs.fields(kind):
        name = attribute.name
        text = parser.get(section, name, fallback=None)
        if text is None:
            problems.append(f"{path}: [{section}] {name} is missing")
            continue
        source = ""
        if attribute.metadata["stand_in"] is not None:
            text, source = _find_optional(text, section, attribute)
        try:
            values[name] = _convert(text, hints[name], attribute)
        except ValueError as error:
            shown = "(hidden)" if attribute.metadata["secret"] else repr(text)
            shown += f" ({source})" if source else ""
            problems.append(f"{path}: [{section}] {name} = {shown}: {error}")
            continue
        if attribute.metadata["stand_in"] is not None:
            value = values[name]
            sources.append(ValueSource(section, name, value, source or "settings"))
    return values, problems


def _find_optional(text: str, section: str, attribute: Attribute) -> tuple[str, str]:
    """Return the text of an optional setting and where it comes from.

    The source is empty for a text from the settings file or the defaults.
    """
    if text:
        return text, ""
    variable = name_variable(section, attribute.name)
    text = os.environ.get(variable, "").strip()
    if text:
        return text, variable
    stand_in = attribute.metadata["stand_in"]
    derived = stand_in.derive()
    if derived is None:
        return "", stand_in.doc
    return str(derived.value), derived.source


def _convert(text: str, kind: Any, attribute: Attribute) -> Any:
    if kind == float | None:
        return _convert_number(text, float, attribute) if text else None
    if kind is bool:
        return _convert_boolean(text)
    if kind is int or kind is float:
        return _convert_number(text, kind, attribute)
    if kind is str:
        return _convert_text(text, attribute)
    parts = tuple(part.strip() for part in text.split(",") if part.strip())
    if not parts and not attribute.metadata["may_be_empty"]:
        raise ValueError("must name at least one entry")
    return parts


def _convert_boolean(text: str) -> bool:
    if text.lower() not in _BOOLEANS:
        raise ValueError("must be yes or no")
    return _BOOLEANS[text.lower()]


def _convert_number(text: str, kind: type, attribute: Attribute) -> float:
    try:
        number = kind(text)
    except ValueError:
        wanted = "a whole number" if kind is int else "a number"
        raise ValueError(f"must be {wanted}") from None
    minimum = attribute.metadata["minimum"]
    maximum = attribute.metadata["maximum"]
    if not minimum <= number <= maximum:
        raise ValueError(f"must be from {minimum} to {maximum}")
    return number


def _convert_text(text: str, attribute: Attribute) -> str:
    choices = attribute.metadata["choices"]
    if choices and text not in choices:
        raise ValueError(f"must be one of {', '.join(choices)}")
    if not text and attribute.metadata["may_be_empty"]:
        return text
    if attribute.metadata["secret"] and len(text) < 16:
        raise ValueError("must have 16 characters or more")
    return text


def _check_relations(sections: dict[str, Any], path: Path) -> Iterator[str]:
    daemon = sections["daemon"]
    if not daemon.name:
        yield f"{path}: [daemon] name is empty"
    if daemon.data_centre not in daemon.data_centres:
        yield (
            f"{path}: [daemon] data_centre = {daemon.data_centre!r}: "
            "is not among data_centres"
        )
    limits = sections["limits"]
    if limits.renew_seconds * 2 > limits.lease_seconds:
        yield (
            f"{path}: [limits] renew_seconds = {limits.renew_seconds}: "
            "must be at most half of lease_seconds"
        )
    keys = sections["keys"]
    if sections["configuration"].poll_seconds * 2 > keys.freshness_seconds:
        yield (
            f"{path}: [keys] freshness_seconds = {keys.freshness_seconds}: "
            "must be at least twice configuration.poll_seconds"
        )
    clients = sections["clients"]
    largest = BODY_FACTOR * sections["requests"].max_body_bytes
    if not clients.fits(CALLERS_SHARE, largest):
        yield f"{path}: [clients] memory_mb: [requests] max_body_bytes does not fit"
    if not clients.fits(OPERATORS_SHARE, MAX_SHEET_BYTES):
        yield f"{path}: [clients] memory_mb: the largest sheet does not fit"
    trace = sections["trace"]
    if trace.export == "file" and not trace.file:
        yield f"{path}: [trace] file is empty although export is file"
