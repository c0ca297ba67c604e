"""An answer that didn't come, or not whole."""

__all__ = ["HttpCallError"]


class HttpCallError(Exception):
    """Raised while a response is awaited or read.

    `was_sent` tells whether the request may have reached the upstream.
    """

    def __init__(self, reason, was_sent=True):
        super().__init__(reason)
        self.was_sent = was_sent
