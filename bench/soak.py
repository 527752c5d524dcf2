"""Fault soak of the gateway: python -m bench soak --seed N --seconds S."""

from tests.platform.soak import run


def main(argv: list[str]) -> int:
    """Run the soak; returns the exit code."""
    return int(run.main(argv))
