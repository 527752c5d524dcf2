"""The agent role: admission and runs beside one target."""
