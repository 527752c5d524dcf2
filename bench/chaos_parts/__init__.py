"""The system, load, faults, schedule and checker of the chaos benchmark."""
