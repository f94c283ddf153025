"""Removes each safeguard in a scratch copy and checks that a test fails.

``make proofs`` runs it and writes the table of ``docs/proofs.md``. A safeguard
whose removal no test notices is reported and makes the run fail.
"""

import re
import shutil
import subprocess
import sys
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from tempfile import TemporaryDirectory

from attrs import frozen

from bench.fleet_limit_mutations import FLEET_LIMIT_MUTATIONS
from bench.fleet_mutations import FLEET_MUTATIONS
from bench.mutations import MUTATIONS, Mutation
from bench.runner import load_last_record

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "proofs.md"
BEGIN = "<!-- begin generated table -->"
END = "<!-- end generated table -->"
COPIED_PATHS = (
    "hemlockstand",
    "emulator",
    "bench",
    "test",
    "docs",
    "pyproject.toml",
    "KNOWN-RED.txt",
)
TEST_TIMEOUT_SECONDS = 150
PARALLEL_PROOFS = 4


@frozen
class Proof:
    """Result of the tests without the safeguard.

    ``failed`` is the first test that failed, or empty if all passed.
    """

    mutation: Mutation
    failed: str


def copy_tree(copy: Path) -> None:
    """Copy what the tests need to an existing directory."""
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            ignore = shutil.ignore_patterns("__pycache__", "records")
            shutil.copytree(source, copy / name, ignore=ignore)
        else:
            shutil.copy(source, copy / name)
    shutil.copy(ROOT / "README.md", copy / "README.md")


def run_proof(mutation: Mutation) -> Proof:
    """Run the tests of a mutation on a copy and return the result."""
    with TemporaryDirectory(prefix="hemlockstand-proof-") as directory:
        copy = Path(directory)
        copy_tree(copy)
        path = copy / mutation.path
        text = path.read_text(encoding="utf-8")
        if text.count(mutation.old) != 1:
            raise ValueError(
                f"{mutation.path}: {mutation.old!r} must occur exactly once"
            )
        path.write_text(text.replace(mutation.old, mutation.new), encoding="utf-8")
        return Proof(mutation, _find_failure(copy, mutation.tests))


def _find_failure(copy: Path, tests: Iterable[str]) -> str:
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider"]
    try:
        result = subprocess.run(
            [*command, *tests],
            cwd=copy,
            capture_output=True,
            text=True,
            timeout=TEST_TIMEOUT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return f"{' '.join(tests)} (timed out)"
    match = re.search(r"^(?:FAILED|ERROR) (\S+)", result.stdout, re.MULTILINE)
    return match[1] if match is not None else ""


def find_commit(test: str) -> str:
    """Return the commit that added the test."""
    path, _, name = test.partition("::")
    name = re.sub(r"\[.*", "", name.rpartition("::")[2] or name)
    command = ["git", "log", "--format=%h", "--reverse", "-S", f"def {name}(", "--"]
    result = subprocess.run(
        [*command, path], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return result.stdout.split("\n")[0] or "-"


def format_rows(proofs: Iterable[Proof]) -> Iterator[str]:
    """Yield the lines of the table."""
    measured = load_last_record()
    yield "| point | mechanism | test that fails without it | added in | measured |"
    yield "|---|---|---|---|---|"
    for proof in proofs:
        mutation = proof.mutation
        figures = ", ".join(
            f"`{name}` {measured[name]:.3g}"
            for name in mutation.figures
            if name in measured
        )
        test = f"`{proof.failed}`" if proof.failed else "**none**"
        commit = find_commit(proof.failed) if proof.failed else "-"
        yield (
            f"| {mutation.point} | {mutation.mechanism} | {test} | {commit} "
            f"| {figures or '-'} |"
        )


def write_table(lines: Iterable[str]) -> None:
    """Replace the generated part of the page."""
    text = PAGE.read_text(encoding="utf-8")
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    table = "\n".join(lines)
    PAGE.write_text(f"{before}{BEGIN}\n{table}\n{END}{after}", encoding="utf-8")


def main() -> None:
    """Run all proofs and write the page."""
    with ThreadPoolExecutor(PARALLEL_PROOFS) as executor:
        mutations = MUTATIONS + FLEET_MUTATIONS + FLEET_LIMIT_MUTATIONS
        proofs = list(executor.map(run_proof, mutations))
    for proof in proofs:
        verdict = "ok" if proof.failed else "FAIL"
        print(f"proof {verdict} {proof.mutation.point}: {proof.failed or 'no test'}")
    write_table(format_rows(proofs))
    sys.exit(0 if all(proof.failed for proof in proofs) else 1)


if __name__ == "__main__":
    main()
