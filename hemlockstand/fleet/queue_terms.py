"""The terms of a job's queue, also while it is not in the configuration.

A queue may be dropped and come back. Its accepted jobs go on meanwhile, by the
terms that were stored with them.
"""

from hemlockstand.fleet.model import FleetConfig, JobSpec, QueueTerms


def find_terms(spec: JobSpec, config: FleetConfig) -> QueueTerms:
    """Return the terms in force for a job, or else those stored with it."""
    return config.terms_by_queue.get(spec.queue, spec.terms)
