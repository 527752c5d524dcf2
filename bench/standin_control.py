"""Reads audits from stand-in processes and sets their faults over HTTP."""

import json
from typing import Any
import urllib.request

TIMEOUT_S = 10.0


def read_audit(address: str) -> dict[str, Any]:
    """Return the audit of the stand-in at `address`."""
    url = f'http://{address}/audit'
    with urllib.request.urlopen(url, timeout=TIMEOUT_S) as response:
        return json.loads(response.read())


def set_faults(address: str, **faults: Any) -> None:
    """Set the given faults of the stand-in at `address`; keep all others."""
    request = urllib.request.Request(
        f'http://{address}/faults',
        data=json.dumps(faults).encode(),
        method='POST',
    )
    with urllib.request.urlopen(request, timeout=TIMEOUT_S):
        pass
