"""A plain service that books credits and keeps an audit of them."""

from dataclasses import dataclass
from dataclasses import field

import msgspec

from wigeonmill.standins.server import delay
from wigeonmill.standins.server import Route
from wigeonmill.standins.server import StandinHandler
from wigeonmill.standins.server import StandinServer
from wigeonmill.standins.server import start_server


class LedgerFaults(msgspec.Struct):
    """Faults of the ledger; zero values mean none.

    `lose_replies` counts credits that are booked but whose connection is
    dropped; `lose_requests` counts credits dropped before booking.
    """

    delay_ms: float = 0.0
    lose_replies: int = 0
    lose_requests: int = 0
    unavailable: bool = False


class LedgerOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Options of a ledger stand-in."""

    name: str = 'ledger'
    faults: LedgerFaults = msgspec.field(default_factory=LedgerFaults)


class Credit(msgspec.Struct, forbid_unknown_fields=True):
    """One credit; `reference` is the caller's identifier for it."""

    account: str
    amount: float
    reference: str


class AppliedCredit(msgspec.Struct):
    """A booked credit as the audit lists it."""

    sequence: int
    account: str
    amount: float
    reference: str
    request_id: str
    idempotency_key: str


class Account(msgspec.Struct):
    """The balance of one account."""

    account: str
    balance: float
    credits: int


class LedgerAudit(msgspec.Struct):
    """Every booked credit in order, and the number of account reads."""

    name: str
    credits: list[AppliedCredit]
    reads: int


@dataclass(slots=True)
class Ledger:
    """The state of a ledger: its accounts and booked credits."""

    options: LedgerOptions
    faults: LedgerFaults
    applied: list[AppliedCredit] = field(default_factory=list)
    accounts: dict[str, Account] = field(default_factory=dict)
    reads: int = 0

    def apply(self, credit: Credit, request_id: str, key: str) -> int:
        """Book a credit and return its number."""
        sequence = len(self.applied) + 1
        self.applied.append(
            AppliedCredit(
                sequence,
                credit.account,
                credit.amount,
                credit.reference,
                request_id,
                key,
            )
        )
        account = self.read(credit.account)
        account.balance += credit.amount
        account.credits += 1
        return sequence

    def read(self, name: str) -> Account:
        """Return an account; it is created on first use."""
        return self.accounts.setdefault(name, Account(name, 0.0, 0))

    def audit(self) -> LedgerAudit:
        """Return the booked credits and the number of reads."""
        return LedgerAudit(self.options.name, self.applied, self.reads)

    def faults_changed(self) -> None:
        """Do nothing: faults apply from the next call on."""


class CreditReply(msgspec.Struct):
    """The reply to a booked credit."""

    sequence: int
    account: str
    balance: float
    reference: str


class _CreditsHandler(StandinHandler):
    async def post(self) -> None:
        ledger: Ledger = self.state
        faults = ledger.faults
        if faults.unavailable:
            return self.reply_error(503, 'unavailable', 'out of service')
        credit = self.decode(Credit)
        if credit is None:
            return None
        if faults.lose_requests > 0:
            faults.lose_requests -= 1
            return self.drop()
        headers = self.request.headers
        sequence = ledger.apply(
            credit,
            headers.get('X-Request-Id', ''),
            headers.get('Idempotency-Key', ''),
        )
        await delay(faults.delay_ms)
        if faults.lose_replies > 0:
            faults.lose_replies -= 1
            return self.drop()
        balance = ledger.read(credit.account).balance
        return self.reply(
            CreditReply(sequence, credit.account, balance, credit.reference),
            201,
        )


class _AccountHandler(StandinHandler):
    async def get(self, name: str) -> None:
        ledger: Ledger = self.state
        if ledger.faults.unavailable:
            return self.reply_error(503, 'unavailable', 'out of service')
        await delay(ledger.faults.delay_ms)
        ledger.reads += 1
        account = ledger.accounts.get(name, Account(name, 0.0, 0))
        return self.reply(account)


class Health(msgspec.Struct):
    """The reply to a plain service's health check."""

    status: str


class _HealthHandler(StandinHandler):
    def get(self) -> None:
        if self.state.faults.unavailable:
            return self.reply_error(503, 'unavailable', 'out of service')
        return self.reply(Health('ok'))


async def start_ledger(
    options: LedgerOptions, host: str = '127.0.0.1', port: int = 0
) -> StandinServer[Ledger]:
    """Start a ledger service."""
    ledger = Ledger(options, options.faults)
    handler_args = {'state': ledger}
    routes: list[Route] = [
        ('/credits', _CreditsHandler, handler_args),
        ('/accounts/([^/]+)', _AccountHandler, handler_args),
        ('/health', _HealthHandler, handler_args),
    ]
    return await start_server(ledger, routes, host, port)
