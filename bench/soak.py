"""Runs the gateway fault soak: python -m bench soak --seed N --seconds S."""

from tests.platform.soak import run


def main(argv: list[str]) -> int:
    """Run the soak; return its exit code."""
    return int(run.main(argv))
