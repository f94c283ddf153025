"""Scheduling of jobs on executors, and maintenance of their instances."""
