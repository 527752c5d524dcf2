"""Parts of the chaos benchmark: system, load, faults, schedule, checker."""
