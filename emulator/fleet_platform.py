"""HTTP stand-in for the platform: store, executors and machines.

It serves the in-process models over the published protocol, so that a daemon
under test uses the same adapter as with the users' platform. All executors
answer at one address; the header ``Expected-Instance`` selects the executor.
"""

from base64 import b64decode, b64encode
from collections.abc import Mapping
from itertools import count
from typing import Any

import attrs
import trio
from attrs import define, field
from hypercorn.config import Config as HypercornConfig
from hypercorn.trio import serve
from quart import Response, jsonify, request
from quart_trio import QuartTrio

from emulator.fleet_executors import ExecutorModel, RecordedRun, SubtaskBehaviour
from emulator.fleet_instances import InstanceAccess, InstanceModel
from emulator.row_store import RowStoreModel, Transaction
from hemlockstand.asgi import shield_sends
from hemlockstand.fleet.model import (
    HoldAnswer,
    InstanceEntry,
    Refusal,
    Refused,
    Resources,
    StartOrder,
)
from hemlockstand.platform.executors import OrderRefused
from hemlockstand.platform.rows import (
    HistoryGone,
    RowConflict,
    RowExpectation,
    RowKey,
    RowWrite,
    StoredRow,
)

DEFAULT_BEHAVIOUR = SubtaskBehaviour(0.5, size=Resources(1000, 512))


@define(eq=False)
class FleetPlatform:
    """The models, and the application that serves them."""

    address: str = ""
    store: RowStoreModel = field(factory=RowStoreModel)
    executors: dict[str, ExecutorModel] = field(factory=dict)
    records: list[RecordedRun] = field(factory=list)
    instances: InstanceModel = field(init=False)
    _ids: count = field(factory=lambda: count(1))

    def __attrs_post_init__(self) -> None:
        self.instances = InstanceModel(self._leave, self._join)

    def _leave(self, executor: str) -> None:
        self.executors.pop(executor).crash()
        self.store.remove("servers", executor)

    def _join(self, instance: InstanceEntry) -> str:
        return self.add_executor(instance.pool).id

    def add_executor(self, pool: str) -> ExecutorModel:
        """Add an executor and its row in the store."""
        name = f"i-{next(self._ids)}"
        model = ExecutorModel(
            name, pool, lambda subtask: DEFAULT_BEHAVIOUR, self.records
        )
        self.executors[name] = model
        entry = model.entry().replace(f"{name}:1".encode(), self.address.encode())
        self.store.put("servers", name, entry)
        return model

    def make_app(self) -> QuartTrio:
        """Return the application with the routes of the protocol."""
        app = QuartTrio(__name__)
        app.post("/rows-tx")(self._transact)
        app.get("/rows-get")(self._get)
        app.get("/rows-feed")(self._feed)
        app.post("/run-start")(self._start)
        app.post("/run-stop")(self._stop)
        app.post("/hold")(self._hold)
        app.get("/machines")(self._list_machines)
        app.post("/machine-move")(self._move)
        app.post("/machine-upkeep")(self._maintain)
        return app

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve at ``address`` until cancelled."""
        config = HypercornConfig()
        config.bind = [self.address]
        config.accesslog = None
        await serve(shield_sends(self.make_app()), config, task_status=task_status)

    async def _transact(self) -> Response | tuple[Response, int]:
        body = await request.get_json()
        transaction = Transaction(
            tuple(
                RowWrite(row["Table"], row["Key"], b64decode(row["Value"]), row["part"])
                for row in body["Write"]
            ),
            tuple(
                RowExpectation(row["Table"], row["Key"], row["RowVersion"], row["part"])
                for row in body["ExpectedRev"]
            ),
            tuple(
                RowKey(row["Table"], row["Key"], row["part"]) for row in body["Remove"]
            ),
        )
        if excess := transaction.find_excess():
            return jsonify({"Error": excess}), 400
        try:
            version = self.store.apply(transaction)
        except RowConflict as conflict:
            return jsonify({"rows": [show_row(row) for row in conflict.rows]}), 412
        return jsonify({"RowVersion": version, "NowMs": 1})

    async def _get(self) -> Response:
        query = request.args
        rows = self.store.select(
            query["Table"],
            query.get("StartKey", ""),
            query.get("To", ""),
            query["part"],
        )
        return self._show(rows)

    async def _feed(self) -> Response | tuple[Response, int]:
        table = request.args["Table"]
        after = int(request.args["After"])
        try:
            with trio.move_on_after(int(request.args["WaitMs"]) / 1000):
                while not self.store.changes(table, after):
                    await self.store.wait()
            return self._show(self.store.changes(table, after))
        except HistoryGone:
            return jsonify({}), 410

    def _show(self, rows: tuple[StoredRow, ...]) -> Response:
        return jsonify(
            {
                "rows": [show_row(row) for row in rows],
                "HasMore": False,
                "RowVersion": self.store.version,
                "NowMs": 1,
            }
        )

    def _find(self) -> ExecutorModel | None:
        return self.executors.get(request.headers["Expected-Instance"])

    async def _start(self) -> tuple[Response, int]:
        model = self._find()
        if model is None:
            return jsonify({}), 421
        order = read_start(await request.get_json())
        if model.late_orders:
            model.late_orders -= 1
            model.late.append((trio.current_time(), order))
            await trio.sleep_forever()
        if model.unhealthy_orders:
            model.unhealthy_orders -= 1
            return jsonify({}), 503
        outcome = model.begin(order)
        if model.lost_answers:
            model.lost_answers -= 1
            await trio.sleep_forever()
        answer: dict[str, Any] = {"ClockMs": model.clock_ms, "born": model.born_ms}
        match outcome:
            case Refused(reason):
                return jsonify({**answer, "Reason": Refusal(reason).value}), 409
            case _:
                return jsonify(answer), 200

    async def _stop(self) -> tuple[Response, int]:
        model = self._find()
        if model is None:
            return jsonify({}), 421
        body = await request.get_json()
        try:
            model.accept_fence(body["FencingToken"])
        except OrderRefused:
            return jsonify({"Reason": "fence"}), 409
        model.stop(body["Task"], body["Run"])
        return jsonify({"ClockMs": model.clock_ms}), 200

    async def _hold(self) -> tuple[Response, int]:
        model = self._find()
        if model is None:
            return jsonify({}), 421
        body = await request.get_json()
        try:
            model.handle_hold(body.get("DueMs"), body["FencingToken"], body["Acked"])
        except OrderRefused:
            return jsonify({"Reason": "fence", "ClockMs": model.clock_ms}), 409
        lifetime = model.born_ms
        give_up_at = trio.current_time() + body.get("WaitMs", 0) / 1000
        while not model.ends and trio.current_time() < give_up_at:
            await trio.sleep(0.02)
            model.advance()
            if model.born_ms != lifetime:
                # The process that had the call has ended.
                await trio.sleep_forever()
        return jsonify(show_lists(model.make_hold_answer())), 200

    async def _list_machines(self) -> Response:
        self.instances.advance()
        machines = [
            show_instance(instance) for instance in self.instances.instances.values()
        ]
        return jsonify({"Machines": machines, "NextToken": None})

    async def _move(self) -> tuple[Response, int]:
        return await self._order("move")

    async def _maintain(self) -> tuple[Response, int]:
        return await self._order("maintain")

    async def _order(self, kind: str) -> tuple[Response, int]:
        body = await request.get_json()
        access = InstanceAccess(self.instances, call_seconds=0.0)
        target = body["Pool"] if kind == "move" else body["Wave"]
        outcome = await getattr(access, kind)(
            body["Machine"],
            target,
            request.headers["Lease-Holder"],
            int(request.headers["Fencing-Token"]),
        )
        return jsonify({"Reason": outcome.value}), 200 if outcome == "taken" else 409


def read_start(body: Mapping[str, Any]) -> StartOrder:
    """Return the order to start a run from the body of a call."""
    return StartOrder(
        body["Task"],
        body["Run"],
        body["TaskSpec"],
        body["DueMs"],
        body["FencingToken"],
        body.get("Checkpoint", ""),
    )


def show_row(row: StoredRow) -> dict[str, Any]:
    """Return a row as the protocol encodes it."""
    body = {
        "Table": row.table,
        "part": row.part,
        "Key": row.key,
        "RowVersion": row.version,
    }
    if row.value is None:
        return {**body, "Deleted": True}
    return {**body, "Value": b64encode(row.value).decode()}


def show_lists(answer: HoldAnswer) -> dict[str, Any]:
    """Return an executor's runs and ends as the protocol encodes them."""
    return {
        "ClockMs": answer.clock_ms,
        "born": answer.born_ms,
        "Running": [list(attrs.astuple(entry)) for entry in answer.running],
        "Finished": [
            [end.number, end.subtask, end.run, end.kind.value, end.checkpoint]
            for end in answer.ended
        ],
    }


def show_instance(instance: InstanceEntry) -> dict[str, Any]:
    """Return an instance as the protocol encodes it."""
    return {
        "Machine": instance.name,
        "Pool": instance.pool,
        "State": instance.state.value,
        "Zone": instance.data_centre,
        "Labels": list(instance.labels),
        "Capacity": {
            "Cpu": instance.capacity.cpu_millis,
            "MemMb": instance.capacity.memory_mb,
        },
        "Id": instance.executor,
    }
