"""The outcome of a reservation."""

from dataclasses import dataclass

from wharf_gateway.http.byte_account import ByteAccount

__all__ = ["ByteDecision"]


@dataclass(frozen=True, slots=True)
class ByteDecision:
    """Whether bytes are reserved, and the accounts that must be emptied for it."""

    is_granted: bool
    victims: tuple[ByteAccount, ...] = ()
