"""A demonstration of the whole system on loopback."""

from wharf_standins.demo.command import demo

__all__ = ["demo"]
