"""State and helpers that the steps of the demo share."""

from collections.abc import Sequence
from typing import Any

import httpx
from attrs import define, field

from emulator.fleet import Fleet
from emulator.load import LoadPlan, QueuePlan
from emulator.processes import Child

TEAM = "hinge"
ORDERS = "hinge-orders"
QUOTES = "hinge-quotes"
STOCK = "hinge-stock"
LOAD_RATE = 60.0
LOAD_SECONDS = 5.0


class StepFailed(Exception):
    """A check in a step of the demo failed."""


def require(condition: bool, detail: str) -> None:
    """Raise ``StepFailed`` with the detail unless the condition holds."""
    if not condition:
        raise StepFailed(detail)


@define
class Demo:
    """The state that the steps share.

    ``requests`` are all requests sent so far, with their verdicts, and
    ``figures`` the values that the summary prints.
    """

    fleet: Fleet
    key: str = ""
    requests: list[dict[str, Any]] = field(factory=list)
    figures: dict[str, str] = field(factory=dict)

    def send(
        self, daemon: str, queue: str, request_id: str, key: str | None = None
    ) -> httpx.Response:
        """Send one request through a daemon and record its verdict."""
        headers = {"X-Team": TEAM, "X-Request-Id": request_id}
        used = self.key if key is None else key
        if used:
            headers["Authorization"] = f"Bearer {used}"
        url = f"http://{self.fleet.daemons[daemon].caller}/v1/queues/{queue}"
        response = self.fleet.http.post(url, headers=headers, content=b"2 hinges")
        self.requests.append(
            {
                "id": request_id,
                "verdict": response.headers.get("X-Verdict", "unknown"),
                "mismatched": response.headers.get("X-Request-Id") != request_id,
            }
        )
        return response

    def start_load(self, name: str, queue: str) -> Child:
        """Start a load process against the balancer."""
        key = self.key if queue != STOCK else ""
        plan = LoadPlan(
            targets=[self.fleet.layout.balancer],
            queues=[QueuePlan(queue, TEAM, LOAD_RATE, key)],
            seconds=LOAD_SECONDS,
            id_prefix=name,
            requests_per_connection=5,
        )
        return self.fleet.start_load(name, plan)

    def finish_load(self, load: Child) -> dict[str, Any]:
        """Wait for a load process, record its requests, return its report."""
        report = self.fleet.finish_load(load)
        self.requests.extend(report["requests"])
        return report

    def count_running(self, requests: Sequence[str]) -> int:
        """Return how many of the requests are running on executors now."""
        return sum(
            run["request"] in requests and run["end"] is None
            for run in self.fleet.read_runs()
        )

    def look_up(self, daemon: str, request_id: str) -> str:
        """Ask a daemon for a request's verdict, record it and return it."""
        headers = {"X-Team": TEAM, "Authorization": f"Bearer {self.key}"}
        url = f"http://{self.fleet.daemons[daemon].caller}/v1/requests/{request_id}"
        response = self.fleet.http.get(url, headers=headers)
        verdict = response.headers.get("X-Verdict", f"status {response.status_code}")
        self.requests.append(
            {"id": request_id, "verdict": verdict, "mismatched": False}
        )
        return verdict
