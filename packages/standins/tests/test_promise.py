"""Requests that were read whole are answered, whatever happens to their site.

`python -m wharf_standins search-promise` plays more seeds.
"""

import pytest

from wharf_standins.promise import Play

# Each of these broke the promise once.
PAUSED_GATEWAY = (15, 16, 23, 40)  # sound streams were reset after a pause of a gateway
BROKEN_CONTEST = (1045, 1072)  # the error of an upstream that was given up was logged
REFUSED_TAKEOVER = (111, 140, 166, 245, 276)  # and after a silence, as others refused

# 500 on a split between a service at its limit and an empty one.
OTHER_SERVICE = (2834,)
# A stream's reset took the whole answer before it, which its caller hadn't read yet.
UNREAD_ANSWER = (1149, 4026)
# A body was complete, and its request taken, after the gateway had stopped listening.
LATE_BODY = (4217, 5347)
FAILED_ONCE = (
    *UNREAD_ANSWER,
    *PAUSED_GATEWAY,
    *BROKEN_CONTEST,
    *REFUSED_TAKEOVER,
    *OTHER_SERVICE,
)


@pytest.mark.parametrize("seed", [*range(1, 4), *FAILED_ONCE])
def test_every_request_is_answered_refused_or_excused(seed):
    assert Play(seed).run() == []
