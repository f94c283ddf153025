"""Reports on the configuration in force and on the daemons that have it."""

from typing import Any

import trio

from hemlockstand.configuration.service import ConfigurationService
from hemlockstand.kernel import Kernel
from hemlockstand.operators.commits import utc_today
from hemlockstand.operators.messages import OperatorRequest, to_json
from hemlockstand.peers.service import PeersService

DEFAULT_HISTORY = 20
MAX_HISTORY = 1000
MAX_WAIT_SECONDS = 120
WAIT_POLL_SECONDS = 0.1


class ReportOperations:
    """Operations that only read the configuration and the members."""

    def __init__(self, kernel: Kernel) -> None:
        self._settings = kernel.settings
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._peers = kernel.find("peers", PeersService)

    async def show_version(self, request: OperatorRequest) -> dict[str, Any]:
        """Return the version in force at this daemon."""
        current = self._configuration.current
        return {"version": current.version, "sheet_day": to_json(current.sheet_day)}

    async def show_history(self, request: OperatorRequest) -> dict[str, Any]:
        """Return the newest changes, newest first; digests are left out."""
        limit = request.get_number("limit") or DEFAULT_HISTORY
        committed = await self._configuration.history(min(limit, MAX_HISTORY))
        return {"changes": [_describe_change(entry) for entry in reversed(committed)]}

    async def wait_version(self, request: OperatorRequest) -> dict[str, Any]:
        """Wait until every daemon has a version, or the time is over.

        Daemons that are stopping are left out. One that does not answer counts
        as not having the version.
        """
        version = request.get_number("version")
        if version is None:
            version = self._configuration.current.version
        seconds = min(request.get_number("seconds") or 0, MAX_WAIT_SECONDS)
        started = trio.current_time()
        with trio.move_on_after(seconds):
            while not self._compare_members(version)["complete"]:
                await trio.sleep(WAIT_POLL_SECONDS)
        elapsed = round(trio.current_time() - started, 3)
        return self._compare_members(version) | {"waited_seconds": elapsed}

    def _compare_members(self, version: int) -> dict[str, Any]:
        versions = {self._settings.daemon.name: self._configuration.current.version}
        unanswered: list[str] = []
        for member in self._peers.members():
            if member.name == self._settings.daemon.name or member.leaving:
                continue
            if member.alive:
                versions[member.name] = member.configuration_version
            else:
                unanswered.append(member.name)
        behind = {name: known for name, known in versions.items() if known < version}
        return {
            "version": version,
            "in_force": sorted(set(versions) - set(behind)),
            "behind": dict(sorted(behind.items())),
            "not_answered": sorted(unanswered),
            "complete": not behind and not unanswered,
        }

    async def show_status(self, request: OperatorRequest) -> dict[str, Any]:
        """Return the state of this daemon and of the members it knows."""
        current = self._configuration.current
        daemon = self._settings.daemon
        return {
            "daemon": daemon.name,
            "data_centre": daemon.data_centre,
            "incarnation": self._peers.incarnation,
            "version": current.version,
            "sheet_day": to_json(current.sheet_day),
            "teams": len(current.teams),
            "pools": len(current.pools),
            "queues": len(current.queues),
            "jobs": len(current.jobs),
            "keys": len(current.keys),
            "drains": len(current.drains),
            "members": [
                {
                    "name": member.name,
                    "data_centre": member.data_centre,
                    "alive": member.alive,
                    "leaving": member.leaving,
                    "version": member.configuration_version,
                }
                for member in sorted(self._peers.members(), key=lambda peer: peer.name)
            ],
        }

    async def list_teams(self, request: OperatorRequest) -> dict[str, Any]:
        """Return the teams, each with its fraction of all shares."""
        current = self._configuration.current
        total = sum(team.share for team in current.teams.values())
        fractions = {name: team.share / total for name, team in current.teams.items()}
        return {
            "teams": [
                to_json(team) | {"share_part": round(fractions[name], 4)}
                for name, team in sorted(current.teams.items())
            ]
        }

    async def list_pools(self, request: OperatorRequest) -> dict[str, Any]:
        """Return the pools."""
        return {"pools": _list_entities(self._configuration.current.pools)}

    async def list_queues(self, request: OperatorRequest) -> dict[str, Any]:
        """Return the queues."""
        return {"queues": _list_entities(self._configuration.current.queues)}

    async def list_jobs(self, request: OperatorRequest) -> dict[str, Any]:
        """Return the jobs and whether each is wanted on the day of the sheet.

        Without a sheet in force the day is today in UTC.
        """
        current = self._configuration.current
        day = current.sheet_day or utc_today()
        return {
            "day": day.isoformat(),
            "jobs": [
                to_json(job) | {"wanted": job.last_day >= day}
                for _, job in sorted(current.jobs.items())
            ],
        }

    async def list_keys(self, request: OperatorRequest) -> dict[str, Any]:
        """Return names and teams of the keys, without salts and digests."""
        keys = self._configuration.current.keys
        return {
            "keys": [
                {"name": key.name, "team": key.team} for _, key in sorted(keys.items())
            ]
        }

    async def list_drains(self, request: OperatorRequest) -> dict[str, Any]:
        """Return the instances that operators took out of service."""
        drains = self._configuration.current.drains
        return {
            "drains": [
                {"instance": instance, "reason": reason}
                for instance, reason in sorted(drains.items())
            ]
        }


def _list_entities(entities: Any) -> list[Any]:
    return [to_json(entity) for _, entity in sorted(entities.items())]


def _describe_change(entry: Any) -> dict[str, Any]:
    change = entry.change
    return {
        "version": entry.version,
        "id": change.id,
        "author": change.author,
        "time": change.time,
        "edits": [describe_edit(edit) for edit in change.edits],
    }


def describe_edit(edit: Any) -> dict[str, Any]:
    """Return an edit as a JSON object, without a key's salt and digest."""
    described = {"edit": type(edit).__name__} | to_json(edit)
    entity = described.pop("entity", None)
    if entity is not None:
        described["kind"] = type(edit.entity).__name__.lower()
        described["name"] = entity["name"]
    return described
