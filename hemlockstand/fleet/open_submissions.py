"""Submissions that a frontend is answering, by job.

Several requests may submit the same job at once. While one of them may have
stored it, another one must not be told that the job was not accepted.
"""

from attrs import define, field


@define(eq=False)
class OpenSubmission:
    """Requests in progress that submit the same job.

    ``writes`` is the number of those whose write has no known outcome yet.
    ``may_be_stored`` stays set after the first write until all have ended,
    since a row may have been read before it and answered after it.
    """

    requests: int = 0
    writes: int = 0
    may_be_stored: bool = False


@define(eq=False)
class OpenSubmissions:
    """The submissions in progress by the ids of their jobs."""

    _by_job: dict[str, OpenSubmission] = field(factory=dict)

    def open(self, job: str) -> None:
        """Note that a request for a job has begun."""
        self._by_job.setdefault(job, OpenSubmission()).requests += 1

    def close(self, job: str) -> bool:
        """Note the end of a request; return whether a write remains unclear.

        Only the last request of a job tells, as the job is known until then.
        """
        submission = self._by_job[job]
        submission.requests -= 1
        if submission.requests:
            return False
        del self._by_job[job]
        return submission.writes > 0

    def begin_write(self, job: str) -> None:
        """Note that a request is about to store a job."""
        submission = self._by_job[job]
        submission.writes += 1
        submission.may_be_stored = True

    def end_write(self, job: str) -> None:
        """Note that the outcome of a write of a job is known."""
        self._by_job[job].writes -= 1

    def may_be_stored(self, job: str) -> bool:
        """Return whether an open request may have stored a job."""
        submission = self._by_job.get(job)
        return submission is not None and submission.may_be_stored
