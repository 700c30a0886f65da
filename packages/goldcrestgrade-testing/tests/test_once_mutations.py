"""The check of histories detects each fault that is seeded into the run-once protocol.

Each mutation breaks one rule of the protocol. At least one schedule must then violate a guarantee.
"""

from __future__ import annotations

import contextlib
import random
import typing
from unittest import mock

import pytest

from goldcrestgrade import reasons
from goldcrestgrade.storage import tables
from goldcrestgrade_node import requests
from goldcrestgrade_node.once import (
    barred_attempts,
    claims,
    executions,
    guard,
    keys,
    messages,
    queries,
    rows,
    sweeper,
)
from goldcrestgrade_testing import schedules, soak

KIND = schedules.FaultKind
MAX_SCHEDULES = 1000

FAULT_KINDS = {
    "no_bar_for_unseen_attempt": (KIND.MESSAGES_DOUBLED, KIND.STORE_DOWN, KIND.ENDPOINT_SHEDS),
    "no_bar_on_release": (KIND.STORE_SLOW, KIND.STORE_ANSWERS_LOST),
    "attempt_of_dead_incarnation_barred": (
        KIND.GUARD_CRASHED,
        KIND.STORE_DOWN,
        KIND.GUARD_STOPPED,
    ),
    "deadline_not_checked": (KIND.GUARD_PAUSED, KIND.STORE_SLOW),
}
"""Kinds of faults in the schedules for these mutations; the others use all kinds."""

Mutation = typing.Callable[[], typing.ContextManager[typing.Any]]

RUN_CLAIMED = guard.Guard._run_claimed


def replace(target: typing.Any, name: str, value: typing.Any) -> Mutation:
    return lambda: mock.patch.object(target, name, value)


async def _claim_after_start(self, execution, attempt_id):
    outcome = await RUN_CLAIMED(self, execution, attempt_id)
    claimed = await self.committer.claim(self._make_claim(execution, tables.ABSENT))
    if isinstance(claimed, claims.Held):
        execution.position = claimed.position
    return outcome


async def _assume_held(_self, group):
    claims._set_result(group, claims.Held(tables.Position(0, 1)))


async def _assume_held_if_row_exists(self, group):
    for pending_claim in group:
        try:
            row = await self.store.read(rows.TABLE, pending_claim.claim.row_key)
        except tables.ReadError:
            row = None
        held = claims.Held(row.position) if row else claims.Unclaimed(store_down=False)
        claims._set_result([pending_claim], held)


async def _release_without_bar(self, message):
    execution = self.executions.get(message.row_key)
    ours = execution is not None and execution.token == message.token
    if ours and executions.CHART.allows(execution.state, "barred"):
        return messages.Released()
    return await RELEASE(self, message)


async def _release_running(self, message):
    if message.guard_incarnation != self.identity.incarnation:
        return messages.Gone()
    return messages.Released()


async def _release_of_any_incarnation(self, message):
    return await RELEASE(self, message._replace(guard_incarnation=self.identity.incarnation))


async def _resolve_for_any_incarnation(self, message):
    return await RESOLVE(self, message._replace(guard_incarnation=self.identity.incarnation))


async def _take_over_without_asking(_self, _execution, _document, _attempt_id):
    return messages.Released()


def _evict_all_dated(row, _wall):
    return row.value["expires_at"] is not None


def _transaction_without_versions(group):
    return CLAIMS_TRANSACTION(group)._replace(conditions=())


async def _accept_crossed_reply(guard_client, control_url, message, deadline):
    return (await guard_client.exchange(control_url, message, deadline)).verdict


RELEASE = guard.Guard.release
RESOLVE = guard.Guard.resolve_attempt
CLAIMS_TRANSACTION = claims.transaction


@contextlib.contextmanager
def _one_row_for_all_keys():
    with (
        mock.patch.object(keys, "row_key", lambda service, _key: service),
        mock.patch.object(requests, "digest", lambda request: request.service),
    ):
        yield


CHECK_ADMISSION = guard.Guard._check_admission


def _admit_expired_key(self, message, execution):
    refusal = CHECK_ADMISSION(self, message, execution)
    expired = refusal is not None and refusal.reason == reasons.Refusal.KEY_EXPIRED
    return None if expired else refusal


def _may_start_with_expired_key(self, execution):
    return self.clocks.monotonic() < execution.request.deadline


@contextlib.contextmanager
def _expired_keys_accepted():
    with (
        mock.patch.object(guard.Guard, "_check_admission", _admit_expired_key),
        mock.patch.object(guard.Guard, "_may_start", _may_start_with_expired_key),
    ):
        yield


MUTATIONS: dict[str, Mutation] = {
    "claim_after_start": replace(guard.Guard, "_claim_and_run", _claim_after_start),
    "lost_answer_taken_as_held": replace(claims.Committer, "_read_back", _assume_held),
    "token_not_compared_on_read_back": replace(
        claims.Committer, "_read_back", _assume_held_if_row_exists
    ),
    "version_not_compared_on_claim": replace(claims, "transaction", _transaction_without_versions),
    "no_bar_for_unseen_attempt": replace(
        barred_attempts.BarredAttempts,
        "add",
        lambda _self, _attempt_id, _deadline, refusal: refusal,
    ),
    "no_bar_on_release": replace(guard.Guard, "release", _release_without_bar),
    "running_claim_released": replace(guard.Guard, "release", _release_running),
    "claim_of_dead_incarnation_released": replace(
        guard.Guard, "release", _release_of_any_incarnation
    ),
    "attempt_of_dead_incarnation_barred": replace(
        guard.Guard, "resolve_attempt", _resolve_for_any_incarnation
    ),
    "take_over_without_asking": replace(guard.Guard, "_query_holder", _take_over_without_asking),
    "replay_to_wrong_key": _one_row_for_all_keys,
    "execution_evicted_before_written": replace(
        guard.Guard, "_is_evictable", lambda _self, execution, _now: execution.outcome.done()
    ),
    "row_evicted_before_key_deadline": replace(sweeper, "is_evictable", _evict_all_dated),
    "expired_key_accepted": _expired_keys_accepted,
    "deadline_not_checked": replace(guard.Guard, "_may_start", lambda _self, _execution: True),
    "crossed_reply_taken": replace(queries, "request_verdict", _accept_crossed_reply),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_checker_finds_each_seeded_protocol_fault(name):
    kinds = FAULT_KINDS.get(name, tuple(KIND))
    with MUTATIONS[name]():
        drawn = (schedules.draw(random.Random(seed), kinds) for seed in range(MAX_SCHEDULES))
        assert any(soak.violations(schedule) for schedule in drawn)
