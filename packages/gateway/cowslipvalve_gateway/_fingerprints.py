"""Fingerprints of requests, by which hosts recognize one that comes again."""

import hashlib

from cowslipvalve_gateway import _calls

_DIGEST_BYTES = 16


def compute_fingerprint(request: _calls.CallerRequest) -> str:
    """Returns the fingerprint of a request.

    Requests of one client account with equal method, host name, target and
    body have equal fingerprints, whatever their ids and other headers are.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    # Separate digests of the fields, so that no two splits of them are equal.
    for part in (
        request.method.encode(),
        request.host.encode(),
        request.target.encode(),
        request.account.encode(),
        request.body,
    ):
        digest.update(hashlib.blake2b(part).digest())
    return digest.hexdigest()
