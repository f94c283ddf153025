"""What learning from runs may cost the scheduler."""

from hemlockstand.fleet.durations import (
    MAX_RECORDS_AT_ONCE,
    RECORDS_PER_SECOND,
    Durations,
)


def test_peak_of_ends_is_learned_from_in_part():
    """Guards against a scheduler that is busy with learning when runs must start."""
    durations = Durations()
    at_once = sum(durations.may_record(1.0) for _ in range(1000))
    assert at_once == MAX_RECORDS_AT_ONCE
    later = sum(durations.may_record(2.0) for _ in range(1000))
    assert later == RECORDS_PER_SECOND
