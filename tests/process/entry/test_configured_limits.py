"""Limits of a configuration on the sites for callers."""

import attrs

from wasabiturn.connection.http_limits import CALLER_LIMITS, HttpLimits
from wasabiturn.messages.batch import ClientLimits, LeaderStatus
from wasabiturn.messages.codec import pack, unpack
from wasabiturn.process.entry.configured_limits import ConfiguredLimits

BUDGET_BYTES = 4_000_000


@attrs.define
class Site:
    limits: HttpLimits = CALLER_LIMITS


def follow(*configured: ClientLimits | None) -> HttpLimits:
    site = Site()
    limits = ConfiguredLimits(CALLER_LIMITS, BUDGET_BYTES, lambda: [site])
    for each in configured:
        status = LeaderStatus(is_configured=True, client_limits=each)
        limits.follow(unpack(LeaderStatus, pack(status)))
    return site.limits


def test_configured_limits_replace_the_defaults() -> None:
    limits = follow(
        ClientLimits(
            max_head_bytes=16384,
            max_body_bytes=262144,
            head_timeout_ms=3000,
            idle_timeout_ms=15000,
        )
    )
    assert limits.max_head_bytes == 16384
    assert limits.max_body_bytes == 262144
    assert limits.head_timeout_seconds == 3
    assert limits.idle_timeout_seconds == 15


def test_a_limit_that_is_not_set_has_its_default() -> None:
    limits = follow(ClientLimits(max_body_bytes=5), ClientLimits())
    assert limits == CALLER_LIMITS


def test_a_leader_of_an_earlier_version_changes_no_limit() -> None:
    assert follow(ClientLimits(max_body_bytes=5), None).max_body_bytes == 5


def test_no_body_may_take_the_whole_budget() -> None:
    limits = follow(ClientLimits(max_body_bytes=10**9))
    assert limits.max_body_bytes == BUDGET_BYTES // 2
