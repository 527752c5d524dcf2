"""The configuration in force in one process."""

from collections.abc import Callable
import logging

from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import Document
from wigeonmill.config.sections import SectionSet
from wigeonmill.metrics import Metrics

logger = logging.getLogger(__name__)

Listener = Callable[[ConfigRecord], None]


class ConfigHolder:
    """Holds the record in force and never returns to a lower serial.

    Counts adopted records as `config_adopted` and refused ones, by reason, as
    `config_refused`.
    """

    __slots__ = ('_listeners', '_metrics', '_record', '_sections')

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._record: ConfigRecord | None = None
        self._sections: SectionSet | None = None
        self._listeners: list[Listener] = []
        metrics.gauge('config_serial', lambda: float(self.serial))

    @property
    def record(self) -> ConfigRecord | None:
        """The record in force, None before the first record."""
        return self._record

    @property
    def document(self) -> Document | None:
        """The document in force, None before the first record."""
        return self._record.document if self._record else None

    @property
    def serial(self) -> int:
        """The serial in force, 0 before the first record."""
        return self._record.serial if self._record else 0

    @property
    def sections(self) -> SectionSet | None:
        """The sections of the record in force, split on first use."""
        if self._sections is None and self._record is not None:
            self._sections = SectionSet(self._record)
        return self._sections

    def adopt(self, record: ConfigRecord) -> bool:
        """Put `record` in force if its serial is higher; notify listeners.

        Returns whether it is now in force. A different submission with the
        serial in force is refused and counted: it violates an invariant of
        the key-value service, not of this process.
        """
        if record.serial <= self.serial:
            self._metrics.count('config_refused', self._refusal_reason(record))
            return False
        logger.info('configuration %d replaces %d', record.serial, self.serial)
        self._record = record
        self._sections = None
        self._metrics.count('config_adopted')
        for listener in list(self._listeners):
            listener(record)
        return True

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each record that is put in force later."""
        self._listeners.append(listener)

    def unsubscribe(self, listener: Listener) -> None:
        """Stop calling `listener`."""
        self._listeners.remove(listener)

    def _refusal_reason(self, record: ConfigRecord) -> str:
        current = self._record
        if record.serial < self.serial or current is None:
            return 'lower_serial'
        if record.submission_id == current.submission_id:
            return 'same_record'
        return 'same_serial_other_submission'
