"""Errors returned to callers, in the format that model clients expect."""

from dataclasses import dataclass
import enum
import math

import msgspec


class Reason(enum.Enum):
    """Stable reasons for a refusal; each is a label of a counter."""

    MALFORMED = 'malformed_request'
    UNAUTHENTICATED = 'invalid_api_key'
    UNKNOWN_MODEL = 'model_not_found'
    UNKNOWN_SERVICE = 'service_not_found'
    UNKNOWN_RUN = 'run_not_found'
    UNKNOWN_PATH = 'path_not_found'
    METHOD = 'method_not_allowed'
    BODY_TOO_LARGE = 'body_too_large'
    PROMPT_TOO_LONG = 'prompt_too_long'
    KEY_REQUIRED = 'idempotency_key_required'
    KEY_REUSED = 'idempotency_key_reused'
    TEAM_LIMIT = 'team_limit'
    OVERLOADED = 'overloaded'
    NO_CONFIG = 'no_configuration'
    NO_TARGET = 'no_target'
    LEAVING = 'leaving'
    DEADLINE = 'deadline_exceeded'
    INTERRUPTED = 'interrupted'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    IN_PROGRESS = 'in_progress'
    NOT_RUN = 'not_run'
    QUARANTINED = 'quarantined'
    SUSPECT = 'suspect'
    ANSWER_NOT_KEPT = 'answer_not_kept'
    TARGET_ERROR = 'target_error'
    INTERNAL = 'internal_error'


_STATUS = {
    Reason.MALFORMED: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_RUN: 404,
    Reason.UNKNOWN_PATH: 404,
    Reason.METHOD: 405,
    Reason.BODY_TOO_LARGE: 413,
    Reason.PROMPT_TOO_LONG: 400,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_REUSED: 422,
    Reason.TEAM_LIMIT: 429,
    Reason.OVERLOADED: 429,
    Reason.DEADLINE: 504,
    Reason.INTERRUPTED: 502,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.IN_PROGRESS: 409,
    Reason.QUARANTINED: 422,
    Reason.ANSWER_NOT_KEPT: 409,
    Reason.TARGET_ERROR: 502,
    Reason.INTERNAL: 500,
}
_DEFAULT_STATUS = 503


@dataclass(frozen=True, slots=True)
class ApiError:
    """An error that is returned to the caller.

    `not_run` says that no target has run the request; it is set only if
    that is certain.
    """

    reason: Reason
    message: str
    retry_after_ms: int = 0
    not_run: bool = True

    @property
    def status(self) -> int:
        """The HTTP status code of the reason."""
        return _STATUS.get(self.reason, _DEFAULT_STATUS)

    @property
    def retry_after_s(self) -> int:
        """Whole seconds for the Retry-After header; 0 omits the header."""
        return math.ceil(self.retry_after_ms / 1000.0)


class _ErrorBody(msgspec.Struct):
    message: str
    type: str
    code: str
    not_run: bool


class _ErrorShape(msgspec.Struct):
    error: _ErrorBody


def encode_error(error: ApiError) -> bytes:
    """Return an error as a JSON body."""
    error_type = (
        'invalid_request_error' if error.status < 500 else 'server_error'
    )
    body = _ErrorBody(
        error.message, error_type, error.reason.value, error.not_run
    )
    return msgspec.json.encode(_ErrorShape(body))
