# Makes the virtual environment from the pinned requirements and puts it
# first on PATH. Usage: . scripts/env.sh REQUIREMENTS_FILE
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
venv="${WIGEONMILL_VENV:-$PWD/.venv}"
wanted="$(cat requirements.txt "$1" | sha256sum | cut -c1-16)"
if [ ! -x "$venv/bin/python" ]; then
    python3.11 -m venv "$venv" || python3 -m venv "$venv"
fi
if [ ! -e "$venv/installed-$wanted" ]; then
    "$venv/bin/python" -m pip install --quiet --quiet \
        --disable-pip-version-check -r "$1"
    touch "$venv/installed-$wanted"
fi
export PATH="$venv/bin:$PATH"
export PYTHONPATH="$PWD"
export PYTHONDONTWRITEBYTECODE=1
