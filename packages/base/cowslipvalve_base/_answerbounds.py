"""Bounds on the answers of servers, so that none fills a host's memory."""

import attrs


@attrs.frozen(kw_only=True)
class AnswerLimits:
    """Limits on the size of servers' answers."""

    # The maximum size of the names and values of an answer's headers.
    max_head_bytes: int = 65_536
    # The maximum number of an answer's headers and trailers.
    max_headers: int = 256
    # The maximum size of an answer as received, with its framing.
    max_answer_bytes: int = 4_194_304
    # The maximum number of informational (1xx) responses before an answer.
    max_informational: int = 16
    # The maximum number of answers to other requests before an answer.
    max_unexpected: int = 16
    # The maximum size of all answers that are being received.
    max_total_bytes: int = 33_554_432
    # An answer up to this size is received even if others fill the total.
    guaranteed_bytes: int = 65_536


class AnswerMemory:
    """Counts the bytes of all answers that a host is receiving.

    Attributes:
      limits: The limits on answers.
      used_bytes: The bytes that are counted now.
    """

    def __init__(self, limits: AnswerLimits) -> None:
        self.limits = limits
        self.used_bytes = 0

    def try_take(self, count: int) -> bool:
        """Counts received bytes; returns whether the limit allows them."""
        self.used_bytes += count
        return self.used_bytes <= self.limits.max_total_bytes

    def release(self, count: int) -> None:
        """Uncounts the bytes of an answer that was completed or dropped."""
        self.used_bytes -= count


def create_answer_memory(limits: AnswerLimits | None = None) -> AnswerMemory:
    """Creates a count for all connections of a host."""
    return AnswerMemory(limits or AnswerLimits())
