"""Run ids, which name the target and are signed for one team."""

from collections.abc import Callable
from dataclasses import dataclass
import hashlib
import hmac

from wigeonmill.protocol.handshake import InnerKeys

_LABEL = b'wigeonmill run id'
_MAC_HEX_CHARS = 24


@dataclass(frozen=True, slots=True)
class RunId:
    """The parts of a run id."""

    target: str
    incarnation: int
    sequence: int


class RunIdSigner:
    """Issues and verifies run ids with the shared inner keys."""

    def __init__(self, keys: Callable[[], InnerKeys]) -> None:
        self._keys = keys

    def issue(self, run: RunId, team: str) -> str:
        """Return the text of a run id for `team`."""
        mac = self._macs(run, team)[0]
        return f'{run.target}.{run.incarnation:x}.{run.sequence:x}.{mac}'

    def verify(self, text: str, team: str) -> RunId | None:
        """Return the run id if its signature for `team` is valid, else None.

        A signature with any of the current keys is valid.
        """
        parts = text.rsplit('.', 3)
        if len(parts) != 4:
            return None
        try:
            run = RunId(parts[0], int(parts[1], 16), int(parts[2], 16))
        except ValueError:
            return None
        given = parts[3].encode('utf-8', 'replace')
        macs = self._macs(run, team)
        known = [hmac.compare_digest(given, mac.encode()) for mac in macs]
        return run if any(known) else None

    def _macs(self, run: RunId, team: str) -> list[str]:
        fields = [run.target, f'{run.incarnation}', f'{run.sequence}', team]
        message = _LABEL
        for part in fields:
            data = part.encode()
            message += len(data).to_bytes(4, 'big') + data
        return [
            hmac.new(key, message, hashlib.sha256).hexdigest()[:_MAC_HEX_CHARS]
            for key in self._keys().keys
        ]
