"""The parts of prompts that an engine probably has cached."""

from dataclasses import dataclass, field

__all__ = ["PromptCache"]

DEFAULT_TOKENS = 200_000  # assumed where the configuration names no capacity
# Callers name the tokens of parts: with small numbers, parts would be without end. An
# engine with 400,000 tokens holds about 300 prompts.
MAX_PARTS = 2000


@dataclass(slots=True)
class PromptCache:
    """Parts by key, the least recently used first, as an engine evicts them.

    `capacity` is in tokens, 0 if it is unknown. At most `MAX_PARTS` are kept.

    >>> cache = PromptCache(capacity=100)
    >>> cache.use(((1, 60), (2, 30)), at=1.0)
    >>> cache.cached_tokens(((1, 60), (3, 30), (2, 30)))
    60
    >>> cache.use(((1, 60), (3, 30)), at=2.0)
    >>> cache.cached_tokens(((1, 60), (2, 30))), cache.age(1, 5.0)
    (60, 3.0)
    """

    capacity: int = 0
    _part_by_key: dict[int, tuple[float, float]] = field(default_factory=dict)
    _total: float = 0.0

    def use(self, parts, at, others=1.0):
        """Record that a prompt of `parts` was sent at a time.

        The last part is the request's own. It takes `others` times its tokens, to
        allow for requests of other gateways that aren't known.
        """
        last = len(parts) - 1
        for index, (key, tokens) in enumerate(parts):
            room = tokens * others if index == last else tokens
            known = self._part_by_key.pop(key, None)
            self._total += room - (known[0] if known else 0.0)
            self._part_by_key[key] = (room, at)
        # Parts of this prompt aren't evicted for it.
        capacity = self.capacity or DEFAULT_TOKENS
        while len(self._part_by_key) > len(parts) and (
            self._total > capacity or len(self._part_by_key) > MAX_PARTS
        ):
            oldest = next(iter(self._part_by_key))
            self._total -= self._part_by_key.pop(oldest)[0]

    def cached_tokens(self, parts):
        """Return the tokens of the parts from the start that are cached."""
        total = 0
        for key, tokens in parts:
            if key not in self._part_by_key:
                break
            total += tokens
        return total

    def age(self, key, now):
        """Return the seconds since a part was last used, None if it isn't cached."""
        known = self._part_by_key.get(key)
        return None if known is None else now - known[1]
