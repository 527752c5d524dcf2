"""Decodes callers' requests and encodes refusals."""

from typing import Protocol

from result import Result
from tornado.httputil import HTTPHeaders
from tornado.httputil import RequestStartLine

from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.gateway.request import HeaderFields


class CallerCodec(Protocol):
    """Decodes callers' requests and encodes the gateway's refusals."""

    def request(
        self,
        start: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        arrived_ms: float,
    ) -> Result[CallerRequest, Refusal]:
        """Return the decoded request, or a refusal if it is malformed."""

    def refusal(
        self, refusal: Refusal, request_id: str
    ) -> tuple[HeaderFields, bytes]:
        """Return the header fields and the body of a refusal."""
