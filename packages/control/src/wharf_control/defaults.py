"""Default values of command options."""

__all__ = ["DEFAULT_PLATFORM"]

DEFAULT_PLATFORM = "http://127.0.0.1:7700"
