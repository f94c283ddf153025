"""Checks that every reference in a sheet is to an entity of the right kind."""

from collections.abc import Iterator, Mapping, Set as AbstractSet

from hemlockstand.model import PoolKind
from hemlockstand.sheet.limits import EntityWithRow
from hemlockstand.sheet.problems import Problem

REFERENCES = (
    ("queue", "team", "team"),
    ("queue", "pool", "pool"),
    ("queue", "spare_pool", "pool"),
    ("job", "team", "team"),
    ("job", "pool", "pool"),
)
NEEDED_POOL_KIND = {"queue": PoolKind.EXECUTORS, "job": PoolKind.WORKERS}


def check_references(
    parsed: Mapping[str, Mapping[str, EntityWithRow]],
    file: str,
    failed_names: AbstractSet[tuple[str, str]],
) -> Iterator[Problem]:
    """Yield dangling references and pools of the wrong kind.

    ``failed_names`` are entities whose own row has a problem; a reference to
    one of them is not reported again.
    """
    for kind, column, target in REFERENCES:
        for entry in parsed[kind].values():
            value = getattr(entry.entity, column)
            if value is None or (target, value) in failed_names:
                continue
            line = entry.row.line
            found = parsed[target].get(value)
            if found is None:
                detail = f"the sheet has no {target} of this name"
                yield Problem("dangling_reference", file, line, column, value, detail)
            elif target == "pool" and found.entity.kind != NEEDED_POOL_KIND[kind]:
                detail = (
                    f"a {kind} needs a pool of {NEEDED_POOL_KIND[kind]}, this one "
                    f"has {found.entity.kind}"
                )
                yield Problem("wrong_pool_kind", file, line, column, value, detail)
    for entry in parsed["queue"].values():
        if entry.entity.spare_pool == entry.entity.pool:
            detail = "the spare pool is the queue's own pool"
            value = entry.entity.pool
            yield Problem(
                "same_pool", file, entry.row.line, "spare_pool", value, detail
            )
