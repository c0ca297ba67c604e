"""Command-line tool wharfctl, with which operators manage the system."""
