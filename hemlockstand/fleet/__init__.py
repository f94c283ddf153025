"""Scheduling of jobs on executors, and upkeep of the instances under them."""
