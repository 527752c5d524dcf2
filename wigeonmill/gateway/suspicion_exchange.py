"""Tells other entries of silent targets, and of the pace of targets."""

from collections.abc import Iterable

from wigeonmill.gateway.suspicions import Silence
from wigeonmill.gateway.suspicions import Suspicions
from wigeonmill.gateway.targets import Directory
from wigeonmill.gateway.targets import Target
from wigeonmill.protocol.gen.inner.ttypes import OpenWork
from wigeonmill.protocol.gen.inner.ttypes import TargetSilence

# Ages are sent as whole milliseconds, longer ones as this.
MAX_AGE_MS = 86_400_000.0


class SuspicionExchange:
    """Converts what entries know of silent targets to messages and back.

    The clocks of the entries differ, so messages have ages instead of times.
    """

    __slots__ = ('_directory', '_suspicions')

    def __init__(self, directory: Directory, suspicions: Suspicions) -> None:
        self._directory = directory
        self._suspicions = suspicions

    def to_send(self) -> list[TargetSilence]:
        """Return what this entry knows by itself."""
        return [
            TargetSilence(
                silence.target_id,
                silence.started_at_ms,
                _whole(silence.silent_ms),
                _whole(silence.heard_ms),
            )
            for silence in self._suspicions.to_send()
        ]

    def apply(self, sender: str, received: Iterable[TargetSilence]) -> None:
        """Apply all that a peer tells now."""
        told = [
            Silence(
                notice.target or '',
                notice.started_at_ms or 0,
                notice.silent_ms,
                notice.heard_ms,
            )
            for notice in received
        ]
        self._suspicions.apply(sender, told)

    def apply_pace(self, target: Target, work: OpenWork) -> None:
        """Apply the pace that a target stated to a peer, which heard it."""
        if work.pace_percent is None:
            return
        age_ms = float(max(0, work.pace_age_ms or 0))
        target.load.pace.record_remote(work.pace_percent / 100.0, age_ms)
        self._suspicions.record_heard(target, age_ms)


def pace_to_send(target: Target) -> tuple[int, int] | tuple[()]:
    """Return the pace in percent and its age in ms, if there is one."""
    report = target.load.pace.to_report()
    if report is None:
        return ()
    pace, age_ms = report
    return round(pace * 100.0), round(age_ms)


def _whole(age_ms: float | None) -> int | None:
    if age_ms is None:
        return None
    return round(min(max(age_ms, 0.0), MAX_AGE_MS))
