"""What a submission says, compared with a stored job and for the log."""

from collections.abc import Callable, Sequence

import attrs

from hemlockstand.fleet.model import Step, may_refer_to
from hemlockstand.fleet.storage import group_rows
from hemlockstand.platform.rows import RowWrite, StoredRow, make_stored_row

FindDifference = Callable[[RowWrite, Sequence[StoredRow]], str]


def find_difference(write: RowWrite, rows: Sequence[StoredRow]) -> str:
    """Return how a stored job differs from a submission under its id, if so.

    What the configuration adds to a submission is not compared, because the
    configuration may have changed between the two.
    """
    new = group_rows([make_stored_row(write)])[write.key].spec
    old = group_rows(row for row in rows if row.key == write.key).get(write.key)
    if old is None or old.spec is None:
        return ""
    if not may_refer_to(old.spec, new.tenant, new.queue):
        return f"another job with the id {write.key} was submitted before"
    same_config = attrs.evolve(
        new,
        queue=old.spec.queue,
        pool=old.spec.pool,
        tenant=old.spec.tenant,
        accepted_ms=old.spec.accepted_ms,
        terms=old.spec.terms,
    )
    if same_config == old.spec:
        return ""
    return f"another job with the id {write.key} was submitted before"


def describe_step(step: Step) -> str:
    """Return the size of a step for the log."""
    kinds = (
        ("lasting", step.lasting),
        ("fills", step.fills),
        ("gang", step.gang),
        (f"target {step.target_ms} ms", step.target_ms),
        (f"cap {step.max_per_executor}", step.max_per_executor),
        (f"may miss {step.max_unavailable}", step.max_unavailable),
    )
    flags = ", ".join(kind for kind, present in kinds if present)
    size = f"{step.count} x {step.size.cpu_millis}m {step.size.memory_mb}MB"
    return f"{size} {step.estimate_ms} ms {flags}".strip()
