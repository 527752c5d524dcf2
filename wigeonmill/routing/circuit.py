"""Circuit breakers: keep work away from targets that fail."""

from dataclasses import dataclass
import enum
import random

from wigeonmill.clock import Clock

FAILURES_TO_OPEN = 3
FIRST_OPEN_MS = 500.0
MAX_OPEN_MS = 15_000.0
# The open time is drawn from this share of it up to the whole.
JITTER_SHARE = 0.5


class CircuitState(enum.Enum):
    """State of one target's circuit."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


@dataclass(slots=True)
class _Circuit:
    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    open_ms: float = FIRST_OPEN_MS
    probe_at_ms: float = 0.0


class CircuitBreakers:
    """The circuits of all targets; only targets that failed have state."""

    __slots__ = ('_clock', '_rng', '_circuits')

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._circuits: dict[str, _Circuit] = {}

    def __len__(self) -> int:
        return len(self._circuits)

    def state(self, target: str) -> CircuitState:
        """Return the state of a target's circuit."""
        circuit = self._circuits.get(target)
        return CircuitState.CLOSED if circuit is None else circuit.state

    def blocked(self, target: str) -> bool:
        """Whether the target gets no request now.

        Once the open time is over the target is not blocked, so that one
        request can probe it.
        """
        circuit = self._circuits.get(target)
        if circuit is None or circuit.state is CircuitState.CLOSED:
            return False
        return self._clock.now_ms() < circuit.probe_at_ms

    def record_dispatch(self, target: str) -> None:
        """Note that a request goes to the target; it may be the probe."""
        circuit = self._circuits.get(target)
        if circuit is None or circuit.state is CircuitState.CLOSED:
            return
        circuit.state = CircuitState.HALF_OPEN
        # A probe that is never answered allows another one later.
        circuit.probe_at_ms = self._clock.now_ms() + circuit.open_ms

    def record_success(self, target: str) -> None:
        """Close the target's circuit."""
        self._circuits.pop(target, None)

    def record_failure(self, target: str) -> None:
        """Count a failure; opens the circuit after several in a row."""
        circuit = self._circuits.setdefault(target, _Circuit())
        circuit.failures += 1
        if circuit.state is CircuitState.HALF_OPEN:
            circuit.open_ms = min(MAX_OPEN_MS, circuit.open_ms * 2)
            self._open(circuit)
        elif circuit.failures >= FAILURES_TO_OPEN:
            self._open(circuit)

    def forget(self, target: str) -> None:
        """Drop the state of a target that is gone."""
        self._circuits.pop(target, None)

    def _open(self, circuit: _Circuit) -> None:
        low = circuit.open_ms * JITTER_SHARE
        delay_ms = self._rng.uniform(low, circuit.open_ms)
        circuit.state = CircuitState.OPEN
        circuit.probe_at_ms = self._clock.now_ms() + delay_ms
