"""Leader election: the entry that holds the lease on a key gives orders."""

import enum
import logging
import math
import secrets

import msgspec
from result import Err

from wigeonmill.clock import Clock
from wigeonmill.gateway.own_records import LEADER_KEY
from wigeonmill.gateway.own_records import LeaderRecord
from wigeonmill.providers.key_value import KvEntry
from wigeonmill.providers.key_value import KvErrorKind
from wigeonmill.providers.key_value import LeasedKeys

logger = logging.getLogger(__name__)

# Fraction of the lease's term after which the leader regards it as expired,
# measured from the time at which the renewal was sent.
SAFE_LEASE_FRACTION = 0.75
# Number of renewals in one term of the lease.
RENEWALS_PER_TERM = 3.0


class _State(enum.Enum):
    FOLLOWER = 'follower'
    LEADER = 'leader'


class Leadership:
    """Acquires, renews and releases the leader's lease.

    The lease lasts for `term_ms`. A new leader waits for `takeover_delay_ms`
    before its first order, so that the orders of two leaders are at least
    that far apart. It does not wait if the same entry led before. The fencing
    token is the position of the last change of the leader's key.
    """

    __slots__ = (
        '_keys',
        '_clock',
        '_entry',
        '_term_ms',
        '_takeover_delay_ms',
        '_state',
        '_lease',
        '_nonce',
        '_valid_until_ms',
        '_valid_until_boot_ms',
        '_orders_from_ms',
        '_renew_at_ms',
        '_restores',
        'fence',
    )

    def __init__(
        self,
        keys: LeasedKeys,
        clock: Clock,
        entry: str,
        term_ms: float,
        takeover_delay_ms: float,
    ) -> None:
        self._keys = keys
        self._clock = clock
        self._entry = entry
        self._term_ms = term_ms
        self._takeover_delay_ms = takeover_delay_ms
        self._state = _State.FOLLOWER
        self._lease = 0
        self._nonce = ''
        self._valid_until_ms = 0.0
        self._valid_until_boot_ms = 0.0
        self._orders_from_ms = 0.0
        self._renew_at_ms = 0.0
        # How often the key-value service lost all leases.
        self._restores = 0
        self.fence = 0

    @property
    def is_leader(self) -> bool:
        """Whether this entry is certain to hold the lease."""
        return (
            self._state is _State.LEADER
            and self._clock.now_ms() < self._valid_until_ms
            and self._clock.boot_ms() < self._valid_until_boot_ms
        )

    @property
    def may_order(self) -> bool:
        """Whether an order may be given now."""
        return self.is_leader and self._clock.now_ms() >= self._orders_from_ms

    async def step(self, known: KvEntry | None) -> None:
        """Renew the lease, or acquire it if no other entry holds the key.

        `known` is the leader's key in this entry's mirror.
        """
        if self._state is _State.LEADER:
            await self._renew()
        elif known is None or self._is_held_by_previous_process(known):
            await self._acquire(known)

    async def resign(self) -> None:
        """Revoke the lease, so that another entry can lead immediately."""
        if self._state is _State.LEADER:
            self._become_follower('resigned')
            await self._keys.revoke_lease(self._lease)

    def step_down(self, why: str) -> None:
        """Give no further orders until the lease is acquired again."""
        if self._state is _State.LEADER:
            self._become_follower(why)

    def key_value_restored(self) -> None:
        """Give up the lease, which the service lost with the leader's key."""
        self._restores += 1
        self.step_down('the key-value service was restored')

    async def _renew(self) -> None:
        if not self.is_leader:
            self._become_follower('lease not renewed in time')
            return
        if self._clock.now_ms() < self._renew_at_ms:
            return
        sent_ms, sent_boot_ms = self._clock.now_ms(), self._clock.boot_ms()
        kept = await self._keys.keep_alive(self._lease)
        if not isinstance(kept, Err):
            self._extend_validity(sent_ms, sent_boot_ms)
        elif kept.err_value.kind is KvErrorKind.INVALID:
            self._become_follower('lease expired')

    async def _acquire(self, known: KvEntry | None) -> None:
        sent_ms, sent_boot_ms = self._clock.now_ms(), self._clock.boot_ms()
        restores = self._restores
        granted = await self._keys.grant_lease(math.ceil(self._term_ms))
        if isinstance(granted, Err):
            return
        lease = granted.ok_value
        nonce = secrets.token_hex(8)
        value = msgspec.json.encode(LeaderRecord(self._entry, nonce))
        version = known.version if known else 0
        written = await self._keys.compare_and_swap(
            LEADER_KEY, version, value, lease
        )
        fence = 0
        if not isinstance(written, Err):
            fence = written.ok_value
        elif written.err_value.kind is KvErrorKind.UNKNOWN:
            fence = await self._read_own_revision(value)
        if not fence or restores != self._restores:
            await self._keys.revoke_lease(lease)
            return
        self._state = _State.LEADER
        self._lease = lease
        self._nonce = nonce
        self.fence = fence
        wait_ms = 0.0 if known is not None else self._takeover_delay_ms
        self._orders_from_ms = self._clock.now_ms() + wait_ms
        self._extend_validity(sent_ms, sent_boot_ms)
        logger.info(
            'lease acquired', extra={'fence': fence, 'wait_ms': wait_ms}
        )

    async def _read_own_revision(self, value: bytes) -> int:
        found = await self._keys.get(LEADER_KEY)
        if isinstance(found, Err) or found.ok_value is None:
            return 0
        entry = found.ok_value
        return entry.version if entry.value == value else 0

    def _is_held_by_previous_process(self, known: KvEntry) -> bool:
        """Whether a previous process of this entry holds the key."""
        try:
            record = msgspec.json.decode(known.value, type=LeaderRecord)
        except msgspec.DecodeError as exc:
            logger.warning(
                'malformed leader record', extra={'detail': str(exc)}
            )
            return False
        return record.entry == self._entry and record.nonce != self._nonce

    def _extend_validity(self, sent_ms: float, sent_boot_ms: float) -> None:
        term_ms = self._term_ms * SAFE_LEASE_FRACTION
        self._valid_until_ms = sent_ms + term_ms
        self._valid_until_boot_ms = sent_boot_ms + term_ms
        self._renew_at_ms = sent_ms + self._term_ms / RENEWALS_PER_TERM

    def _become_follower(self, why: str) -> None:
        self._state = _State.FOLLOWER
        logger.info('lease lost', extra={'fence': self.fence, 'why': why})
