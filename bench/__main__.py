"""Command line: python -m bench NAME [--seed N] [--json] ..."""

import importlib
import pkgutil
import sys

import bench


def main(argv: list[str]) -> int:
    """Run the benchmark that `argv[0]` names; return its exit code."""
    names = sorted(
        module.name
        for module in pkgutil.iter_modules(bench.__path__)
        if module.name not in ('__main__', 'outcome') and not module.ispkg
    )
    if not argv or argv[0] not in names:
        print('usage: python -m bench ' + '|'.join(names), file=sys.stderr)
        return 2
    module = importlib.import_module(f'bench.{argv[0]}')
    return int(module.main(argv[1:]))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
