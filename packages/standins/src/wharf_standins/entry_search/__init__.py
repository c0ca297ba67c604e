"""Search for requests that an entry neither answers nor refuses.

A run draws requests, changes and disturbances from a seed and takes them through the
real daemons in virtual time.
"""

from wharf_standins.entry_search.search_run import SearchRun

__all__ = ["SearchRun"]
