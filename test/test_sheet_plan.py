"""The plan is exactly the difference between a sheet and what is in force."""

from datetime import date

import pytest
from attrs import evolve
from hypothesis import given, settings, strategies as st

from hemlockstand.configuration.changes import apply_change
from hemlockstand.model import Configuration, Key, Team
from hemlockstand.sheet.checks import Sheet, check_sheet
from hemlockstand.sheet.plan import DropsNotConfirmed, plan_sheet
from hemlockstand.sheet.problems import SheetError
from test.operator_fakes import SHEET

TODAY = date(2026, 12, 4)
CHECKED_SHEET = check_sheet(SHEET.encode(), "s.csv")


def apply_sheet(sheet, current):
    plan = plan_sheet(sheet, current, TODAY)
    return apply_change(current, plan.make_change("c", "ana", "now"))


def make_teams(shares):
    return {name: Team(name, "sakda", share, 10) for name, share in shares.items()}


SHARES = st.dictionaries(st.sampled_from("abcdef"), st.integers(1, 3))


@settings(derandomize=True, deadline=None)
@given(SHARES, SHARES)
def test_applied_plan_gives_the_sheet(before, after):
    """Guards against a plan with missing or superfluous edits."""
    current = Configuration(teams=make_teams(before))
    sheet = Sheet("s.csv", TODAY, teams=make_teams(after))
    plan = plan_sheet(sheet, current, TODAY)
    applied = apply_change(current, plan.make_change("c", "ana", "now"))
    assert applied.teams == sheet.teams
    changed = {name for name in before | after if before.get(name) != after.get(name)}
    assert {difference.name for difference in plan.differences} == changed


def test_second_plan_of_the_same_sheet_is_empty():
    """Guards against a new version each morning although nothing changed."""
    current = apply_sheet(CHECKED_SHEET, Configuration())
    assert plan_sheet(CHECKED_SHEET, current, TODAY).edits == ()


def test_keys_and_drains_stay():
    """Guards against a sheet that withdraws keys or ends drains."""
    current = apply_sheet(CHECKED_SHEET, Configuration())
    key = Key("k1", "ledger", "00", "11")
    current = evolve(current, keys={"k1": key}, drains={"exec-1": "disk"})
    teams = {"quotes": CHECKED_SHEET.teams["quotes"]}
    sheet = Sheet("s.csv", TODAY, teams=teams, pools=CHECKED_SHEET.pools)
    plan = plan_sheet(sheet, current, TODAY)
    assert plan.teamless_keys == ("k1",)
    applied = apply_change(current, plan.make_change("c", "ana", "now"))
    assert (applied.keys, applied.drains) == ({"k1": key}, {"exec-1": "disk"})
    assert applied.jobs == {} and applied.queues == {}


def test_drops_need_their_exact_number():
    """Guards against a wrong sheet that empties the fleet unconfirmed."""
    current = apply_sheet(CHECKED_SHEET, Configuration())
    sheet = Sheet("s.csv", TODAY, CHECKED_SHEET.teams, CHECKED_SHEET.pools)
    plan = plan_sheet(sheet, current, TODAY)
    assert plan.total_drops == 1
    with pytest.raises(DropsNotConfirmed, match="--confirm-drops 1"):
        plan.check_drops(0.2, None)
    with pytest.raises(DropsNotConfirmed, match="does not match"):
        plan.check_drops(0.2, 3)
    plan.check_drops(0.2, 1)
    plan.check_drops(1.0, None)


def test_drops_at_the_fraction_need_no_confirmation():
    """Guards against asking for confirmation at the fraction itself."""
    current = Configuration(teams=make_teams(dict.fromkeys("abcde", 1)))
    four = Sheet("s.csv", TODAY, teams=make_teams(dict.fromkeys("abcd", 1)))
    plan_sheet(four, current, TODAY).check_drops(0.2, None)
    three = Sheet("s.csv", TODAY, teams=make_teams(dict.fromkeys("abc", 1)))
    with pytest.raises(DropsNotConfirmed):
        plan_sheet(three, current, TODAY).check_drops(0.2, None)


def test_job_past_its_last_day_is_no_drop():
    """Guards against asking to confirm each job that is past its last day."""
    current = apply_sheet(CHECKED_SHEET, Configuration())
    job = evolve(current.jobs["reconcile"], last_day=date(2026, 12, 3))
    current = evolve(current, jobs={"reconcile": job})
    sheet = evolve(CHECKED_SHEET, jobs={})
    assert plan_sheet(sheet, current, TODAY).total_drops == 0
    shortened = evolve(CHECKED_SHEET, jobs={"reconcile": job})
    wanted = apply_sheet(CHECKED_SHEET, Configuration())
    assert plan_sheet(shortened, wanted, TODAY).total_drops == 1


@pytest.mark.parametrize(
    ("in_force", "day", "code"),
    [
        (date(2026, 12, 5), TODAY, "day_older"),
        (None, date(2062, 12, 4), "day_too_late"),
    ],
)
def test_day_out_of_range(in_force, day, code):
    """Guards against applying a sheet of an older day or one far ahead.

    After a day that was mistyped far ahead, all later sheets would be refused
    as older.
    """
    with pytest.raises(SheetError) as caught:
        plan_sheet(
            evolve(CHECKED_SHEET, day=day), Configuration(sheet_day=in_force), TODAY
        )
    assert [problem.code for problem in caught.value.problems] == [code]
