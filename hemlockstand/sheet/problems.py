"""Problems found in a sheet, each tied to a file, row, column and value."""

from attrs import asdict, frozen

from hemlockstand.errors import HemlockstandError


@frozen
class Problem:
    """One fault of a sheet.

    ``row`` counts the lines of the file from 1, so that it agrees with what an
    editor shows; 0 stands for the whole file.
    """

    code: str
    file: str
    row: int
    column: str
    value: str
    detail: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.row}" if self.row else self.file
        column = f" column {self.column}" if self.column else ""
        value = f" value {self.value!r}" if self.value else ""
        return f"{location}:{column}{value}: {self.detail} [{self.code}]"


class SheetError(HemlockstandError):
    """A sheet has problems; nothing of it was applied."""

    code = "invalid_sheet"

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems

    def to_json(self) -> list[dict[str, str | int]]:
        """Return the problems as JSON objects."""
        return [asdict(problem) for problem in self.problems]
