"""Schedules, placement and accounting of batch jobs."""
