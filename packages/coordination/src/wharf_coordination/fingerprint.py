"""Fingerprints that identify a request by content, independent of its key."""

from hashlib import blake2b

__all__ = ["digest", "request_fingerprint", "stage_fingerprint"]

DIGEST_BYTES = 16


def digest(*parts: bytes) -> str:
    """Return the hexadecimal digest of `parts`, each prefixed with its length."""
    state = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8))
        state.update(part)
    return state.hexdigest()


def request_fingerprint(pipeline: str, customer: str, body: bytes) -> str:
    """Return the fingerprint of a caller's request.

    >>> request_fingerprint("ask", "acme", b"1") == request_fingerprint(
    ...     "ask", "other", b"1"
    ... )
    False
    """
    return digest(pipeline.encode(), customer.encode(), body)


def stage_fingerprint(request: str, stage: str) -> str:
    """Return the fingerprint of a request at one stage of its pipeline.

    Stages are kept apart, since an answer from one stage does not show that the
    request is harmless at another.
    """
    return digest(request.encode(), stage.encode())
