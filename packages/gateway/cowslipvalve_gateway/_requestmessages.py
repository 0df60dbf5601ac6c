"""Callers' requests in messages between hosts."""

import base64

import attrs

import cowslipvalve_base as base
from cowslipvalve_gateway import _calls


@attrs.frozen(kw_only=True)
class RequestMessage:
    """A caller's request, as in CallerRequest."""

    request_id: str
    method: str
    host: str
    target: str
    # The headers to forward.
    headers: tuple[tuple[str, str], ...]
    # The body in base64.
    body: str
    account: str

    def to_caller_request(
        self, now_ms: float, remaining_ms: float
    ) -> _calls.CallerRequest:
        """Returns the request as the servers are to get it.

        Args:
          now_ms: The present time.
          remaining_ms: The time until the caller's deadline.

        Raises:
          InputError: The body is not base64.
        """
        return _calls.CallerRequest(
            request_id=self.request_id,
            method=self.method,
            host=self.host,
            target=self.target,
            headers=self.headers,
            body=decode_base64(self.body, "read-request-message"),
            account=self.account,
            received_ms=now_ms,
            deadline_ms=now_ms + remaining_ms,
        )


def decode_base64(text: str, step: str) -> bytes:
    """Decodes base64.

    Raises:
      InputError: The text is not base64.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:  # Not ASCII, or not base64.
        raise base.InputError(f"not base64: {error}", step=step) from error


def create_request_message(request: _calls.CallerRequest) -> RequestMessage:
    """Creates the message for a request."""
    return RequestMessage(
        request_id=request.request_id,
        method=request.method,
        host=request.host,
        target=request.target,
        headers=request.headers,
        body=base64.b64encode(request.body).decode(),
        account=request.account,
    )
