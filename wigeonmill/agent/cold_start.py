"""Detects cold starts of the target, including unannounced ones."""

from dataclasses import dataclass
import enum


class ColdSign(enum.Enum):
    """Why a target is assumed to be in a cold start."""

    AGENT_STARTED = 'agent_started'
    NEW_INCARNATION = 'new_incarnation'
    UPTIME_WENT_BACK = 'uptime_went_back'
    CONNECTION_FAILED = 'connection_failed'
    SLOW_FIRST_TOKEN = 'slow_first_token'
    WEIGHT_VERSION = 'weight_version'
    REPORTED = 'reported'


@dataclass(frozen=True, slots=True)
class ColdStartSettings:
    """Thresholds for a first token that indicates a cold start.

    It must take more than `slow_factor` times its expected time, and more
    than `slow_floor_ms` longer than expected.
    """

    slow_factor: float = 3.0
    slow_floor_ms: float = 300.0


class ColdStartDetector:
    """Derives signs of a cold start from observations of a target.

    Each method returns the sign that its observation gives, or None.
    """

    __slots__ = ('_settings', '_incarnation', '_uptime_ms')

    def __init__(self, settings: ColdStartSettings | None = None) -> None:
        self._settings = settings or ColdStartSettings()
        self._incarnation: str | None = None
        self._uptime_ms = 0.0

    def on_report(self, incarnation: str, uptime_ms: float) -> ColdSign | None:
        """Process a health report of the target.

        Reports must be processed in the order in which they were sent.
        """
        sign = self._sign_of_report(incarnation, uptime_ms)
        self._incarnation = incarnation
        self._uptime_ms = uptime_ms
        return sign

    def on_connection_failed(self) -> ColdSign:
        """Process a refused or reset connection to the target."""
        return ColdSign.CONNECTION_FAILED

    def on_first_token(
        self, took_ms: float, expected_ms: float
    ) -> ColdSign | None:
        """Compare the time of a first token with its expected time."""
        over_factor = took_ms > expected_ms * self._settings.slow_factor
        over_floor = took_ms > expected_ms + self._settings.slow_floor_ms
        if over_factor and over_floor:
            return ColdSign.SLOW_FIRST_TOKEN
        return None

    def _sign_of_report(
        self, incarnation: str, uptime_ms: float
    ) -> ColdSign | None:
        if self._incarnation is None:
            return ColdSign.AGENT_STARTED
        if incarnation != self._incarnation:
            return ColdSign.NEW_INCARNATION
        if uptime_ms < self._uptime_ms:
            return ColdSign.UPTIME_WENT_BACK
        return None
