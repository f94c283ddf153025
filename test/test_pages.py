"""The pages agree with the code that they describe."""

import re
from datetime import date
from pathlib import Path

import pytest

from hemlockstand.ctl.exits import ExitCode
from hemlockstand.ctl.main import COMMANDS, define_flags, find_command, normalise_flag
from hemlockstand.ctl.settings_page import write_page
from hemlockstand.model import Configuration
from hemlockstand.requests.callers import present_verdict
from hemlockstand.settings import load_settings
from hemlockstand.sheet.checks import ENTITY_CLASSES, check_sheet, get_columns
from hemlockstand.sheet.plan import plan_sheet
from hemlockstand.verdict import MayHaveRun, NotRun, Reason

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
MAY_HAVE_RUN_STATUS = 504


def read_block(page, language):
    """Return the only fenced block of a language in a page."""
    (block,) = re.findall(rf"```{language}\n(.*?)```", page.read_text(), re.DOTALL)
    return block


def test_settings_page_is_current():
    """Guards against a setting that the page lacks; ``make docs`` adds it."""
    assert (DOCS / "settings.md").read_text(encoding="utf-8") == write_page()


def test_example_sheet_is_correct():
    """Guards against an example sheet that the daemon would refuse."""
    sheet = check_sheet(read_block(DOCS / "sheet.md", "csv").encode(), "sheet.md")
    assert sheet.day == date(2026, 12, 4)
    counts = [len(group) for group in (sheet.teams, sheet.pools, sheet.queues)]
    assert (counts, len(sheet.jobs)) == ([2, 3, 3], 3)
    plan = plan_sheet(sheet, Configuration(), sheet.day)
    assert (len(plan.differences), plan.total_drops) == (11, 0)


def test_sheet_page_lists_every_column_and_code():
    """Guards against a column or a code that planners cannot look up."""
    text = (DOCS / "sheet.md").read_text(encoding="utf-8")
    for kind in ENTITY_CLASSES:
        row = re.search(rf"^\| `{kind}` \|(.*)\|$", text, re.MULTILINE)[1]
        assert re.findall(r"`(\w+)`", row) == list(get_columns(kind))
    sources = (ROOT / "hemlockstand" / "sheet").glob("*.py")
    code = "".join(path.read_text(encoding="utf-8") for path in sources)
    raised = re.findall(r'(?:Problem|report)\(\s*"(\w+)"', code)
    raised += re.findall(r'yield "(\w+)", "\w+",', code)
    assert len(set(raised)) > 20
    table = text.partition("## Codes")[2]
    assert set(raised) - {"code"} == set(re.findall(r"`(\w+)`", table))


def test_operators_page_lists_every_exit_code():
    """Guards against an exit code without an explanation."""
    text = (DOCS / "operators.md").read_text(encoding="utf-8")
    listed = re.findall(r"^\| (\d+) \|", text, re.MULTILINE)
    assert [int(number) for number in listed] == [code.value for code in ExitCode]


@pytest.mark.parametrize("page", [DOCS / "operators.md", ROOT / "README.md"])
def test_named_commands_exist(page):
    """Guards against a page that names a command that does not exist."""
    text = page.read_text(encoding="utf-8")
    nouns = "|".join({command.words[0] for command in COMMANDS})
    named = re.findall(rf"`(?:hemlockctl )?((?:{nouns})\s[a-z][^`]*)`", text)
    named += re.findall(rf"\$ hemlockctl ((?:{nouns}).*)", text)
    assert len(named) > 4
    for line in named:
        line = re.sub(r"\b(N|SECONDS)\b", "1", line)
        given = [normalise_flag(word) for word in line.split()]
        words = define_flags()(["hemlockctl", *given])[1:]
        if len(words) == 2:
            assert any(command.words == tuple(words) for command in COMMANDS), line
        else:
            find_command(words)


def test_readme_settings_are_accepted(tmp_path):
    """Guards against example settings that the daemon refuses."""
    path = tmp_path / "entry-1.ini"
    path.write_text(read_block(ROOT / "README.md", "ini"), encoding="utf-8")
    assert load_settings(path).daemon.data_centre == "bkk1"


def test_callers_page_lists_every_reason_with_its_status():
    """Guards against a refusal that callers cannot look up."""
    text = (DOCS / "callers.md").read_text(encoding="utf-8")
    table = {
        code: int(status)
        for status, codes in re.findall(r"^\| (\d{3}) \| (`.*`) \|$", text, re.M)
        for code in re.findall(r"`(\w+)`", codes)
    }
    assert set(table) == set(Reason)
    for code, status in table.items():
        verdict = NotRun(Reason(code), "", None)
        if status == MAY_HAVE_RUN_STATUS:
            verdict = MayHaveRun("r", Reason(code), "")
        assert present_verdict(verdict, "r").status == status
