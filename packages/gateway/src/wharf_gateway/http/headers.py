"""Header fields of an HTTP message."""

from dataclasses import dataclass

__all__ = ["Headers"]

# RFC 9110, section 7.6.1, and RFC 7540, section 3.2.1: these fields apply to a single
# connection.
_HOP_BY_HOP = frozenset(
    (
        *("connection", "keep-alive", "proxy-connection", "proxy-authenticate"),
        *("proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade"),
        "http2-settings",
    )
)


@dataclass(frozen=True, slots=True)
class Headers:
    """An immutable list of (name, value) fields, in order and as spelt by the sender.

    Names are compared without regard to case.
    """

    fields: tuple[tuple[str, str], ...] = ()

    def get(self, name, default=None):
        """Return the value of the first field with the name `name`.

        >>> Headers((("Host", "a"),)).get("host")
        'a'
        """
        lowered = name.lower()
        for key, value in self.fields:
            if key.lower() == lowered:
                return value
        return default

    def all(self, name):
        """Return the values of all fields with the name `name`."""
        lowered = name.lower()
        return [value for key, value in self.fields if key.lower() == lowered]

    def joined(self, name):
        """Return the values of all fields with a name as one text, None if none."""
        values = self.all(name)
        return ",".join(values) if values else None

    def tokens(self, name):
        """Return the lower-case items of a comma-separated field."""
        return [
            item.strip().lower()
            for value in self.all(name)
            for item in value.split(",")
        ]

    def without(self, names):
        """Return a copy without the fields whose lower-case name is in `names`."""
        return Headers(tuple(f for f in self.fields if f[0].lower() not in names))

    def plus(self, *fields):
        """Return a copy with `fields` appended."""
        return Headers((*self.fields, *fields))

    def end_to_end(self, dropped=()):
        """Return a copy without the hop-by-hop fields, as a proxy forwards it.

        Fields whose lower-case name is in `dropped` are left out as well.

        >>> Headers((("Connection", "X-A"), ("X-A", "1"), ("B", "2"))).end_to_end()
        Headers(fields=(('B', '2'),))
        """
        return self.without(_HOP_BY_HOP.union(self.tokens("connection"), dropped))
