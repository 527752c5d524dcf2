"""Outcomes of transfers to and from the platform's stores."""

from dataclasses import dataclass
import enum
import http

from wigeonmill.providers.http import HttpError
from wigeonmill.providers.http import HttpErrorKind


class TransferErrorKind(enum.Enum):
    """Why a transfer failed."""

    # The store has no such name.
    NOT_FOUND = 'not_found'
    # The store is out of space; nothing was stored.
    FULL = 'full'
    # The store could not be reached or refused the request.
    UNAVAILABLE = 'unavailable'
    # The transfer did not complete in time.
    TIMEOUT = 'timeout'
    # The connection closed early or the reply is malformed.
    BROKEN = 'broken'
    # The caller cancelled the transfer.
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class TransferError:
    """A failed transfer."""

    kind: TransferErrorKind
    message: str


@dataclass(frozen=True, slots=True)
class Transfer:
    """A completed transfer."""

    size_bytes: int
    elapsed_ms: float


_KINDS = {
    HttpErrorKind.NOT_SENT: TransferErrorKind.UNAVAILABLE,
    HttpErrorKind.TIMEOUT: TransferErrorKind.TIMEOUT,
    HttpErrorKind.BROKEN: TransferErrorKind.BROKEN,
    HttpErrorKind.CANCELLED: TransferErrorKind.CANCELLED,
}


def error_from_http(error: HttpError) -> TransferError:
    """Return the transfer error for a call without a complete reply."""
    return TransferError(_KINDS[error.kind], error.message)


def error_from_status(status: int) -> TransferError | None:
    """Return the transfer error for an HTTP status; None for success."""
    if 200 <= status < 300:
        return None
    message = f'status {status}'
    if status == http.HTTPStatus.NOT_FOUND:
        return TransferError(TransferErrorKind.NOT_FOUND, message)
    if status == http.HTTPStatus.INSUFFICIENT_STORAGE:
        return TransferError(TransferErrorKind.FULL, message)
    return TransferError(TransferErrorKind.UNAVAILABLE, message)
