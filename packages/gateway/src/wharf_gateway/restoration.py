"""The time after a restoration of the store in which its contents are incomplete."""

__all__ = ["GRACE_SECONDS", "is_in_grace"]

# Operators and upstreams write again within two seconds what they wrote since the
# copy, gateways a little later.
GRACE_SECONDS = 5.0


def is_in_grace(eras, now):
    """Return whether objects may be missing that will be written again."""
    return now - eras.restored_at < GRACE_SECONDS
