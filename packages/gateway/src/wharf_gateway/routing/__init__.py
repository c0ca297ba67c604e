"""Choosing upstreams."""
