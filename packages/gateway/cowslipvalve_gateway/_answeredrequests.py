"""The latest requests that servers have answered, which end no server."""

import collections

_MAX_REQUESTS = 8_192


class AnsweredRequests:
    """The fingerprints of the latest answered requests."""

    def __init__(self) -> None:
        self._fingerprints: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self._fingerprints

    def add(self, fingerprint: str) -> None:
        """Adds a request that all its services have answered."""
        self._fingerprints[fingerprint] = None
        self._fingerprints.move_to_end(fingerprint)
        if len(self._fingerprints) > _MAX_REQUESTS:
            self._fingerprints.popitem(last=False)


def create_answered_requests() -> AnsweredRequests:
    """Creates an empty set."""
    return AnsweredRequests()
