"""Reading, checking and planning the planners' daily sheet."""
