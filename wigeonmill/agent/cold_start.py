"""Detects cold starts of the target, announced or not."""

from dataclasses import dataclass
import enum


class ColdSign(enum.Enum):
    """Why a target is taken to be in a cold start."""

    AGENT_STARTED = 'agent_started'
    NEW_INCARNATION = 'new_incarnation'
    UPTIME_WENT_BACK = 'uptime_went_back'
    CONNECTION_FAILED = 'connection_failed'
    SLOW_FIRST_TOKEN = 'slow_first_token'
    WEIGHT_VERSION = 'weight_version'
    REPORTED = 'reported'


@dataclass(frozen=True, slots=True)
class ColdStartSettings:
    """When a first token counts as far above its expected time.

    It does when it took more than `slow_factor` times what was expected and
    more than `slow_floor_ms` on top of it.
    """

    slow_factor: float = 3.0
    slow_floor_ms: float = 300.0


class ColdStartDetector:
    """Turns what is seen of a target into signs of a cold start.

    Each method returns the sign that the observation gives, or None.
    """

    __slots__ = ('_settings', '_incarnation', '_uptime_ms')

    def __init__(self, settings: ColdStartSettings | None = None) -> None:
        self._settings = settings or ColdStartSettings()
        self._incarnation: str | None = None
        self._uptime_ms = 0.0

    def on_report(self, incarnation: str, uptime_ms: float) -> ColdSign | None:
        """Take a load report of the target.

        Reports of one target must be given in the order they were sent.
        """
        sign = self._sign_of_report(incarnation, uptime_ms)
        self._incarnation = incarnation
        self._uptime_ms = uptime_ms
        return sign

    def on_connection_failed(self) -> ColdSign:
        """Take a refused or reset connection to the target."""
        return ColdSign.CONNECTION_FAILED

    def on_first_token(
        self, took_ms: float, expected_ms: float
    ) -> ColdSign | None:
        """Take a first token's time beside the one expected for it."""
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
