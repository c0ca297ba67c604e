"""Duties that one gateway has for all, such as the report of usage."""
