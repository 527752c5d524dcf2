"""Runs the operators' tool: python -m wigeonmill COMMAND."""

from wigeonmill.tools.cli import main

if __name__ == '__main__':
    main()
