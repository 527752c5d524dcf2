"""Circuit breakers that stop requests to failing targets."""

from dataclasses import dataclass
import enum
import random

from wigeonmill.clock import Clock

FAILURES_TO_OPEN = 3
FIRST_OPEN_MS = 500.0
MAX_OPEN_MS = 15_000.0
# With jitter, a circuit stays open for at least this fraction of its open
# time and at most for all of it.
MIN_OPEN_FRACTION = 0.5


class CircuitState(enum.Enum):
    """State of one target's circuit breaker."""

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
    """The circuit breakers of all targets; only failed targets have state."""

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
        """Return whether no request may be sent to the target now.

        After the open time the target is no longer blocked, so that one
        request can probe it.
        """
        circuit = self._circuits.get(target)
        if circuit is None or circuit.state is CircuitState.CLOSED:
            return False
        return self._clock.now_ms() < circuit.probe_at_ms

    def record_dispatch(self, target: str) -> None:
        """Record a request sent to the target, which may be the probe."""
        circuit = self._circuits.get(target)
        if circuit is None or circuit.state is CircuitState.CLOSED:
            return
        circuit.state = CircuitState.HALF_OPEN
        # If this probe is never answered, another one is allowed later.
        circuit.probe_at_ms = self._clock.now_ms() + circuit.open_ms

    def record_success(self, target: str) -> None:
        """Close the target's circuit."""
        self._circuits.pop(target, None)

    def record_failure(self, target: str) -> None:
        """Count a failure; consecutive failures open the circuit."""
        circuit = self._circuits.setdefault(target, _Circuit())
        circuit.failures += 1
        if circuit.state is CircuitState.HALF_OPEN:
            circuit.open_ms = min(MAX_OPEN_MS, circuit.open_ms * 2)
            self._open(circuit)
        elif circuit.failures >= FAILURES_TO_OPEN:
            self._open(circuit)

    def forget(self, target: str) -> None:
        """Discard the state of a removed target."""
        self._circuits.pop(target, None)

    def _open(self, circuit: _Circuit) -> None:
        low = circuit.open_ms * MIN_OPEN_FRACTION
        delay_ms = self._rng.uniform(low, circuit.open_ms)
        circuit.state = CircuitState.OPEN
        circuit.probe_at_ms = self._clock.now_ms() + delay_ms
