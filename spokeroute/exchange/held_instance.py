"""What a holder keeps of one instance: its queue, what it was handed, and how it does."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.answers import Ran
from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.dispatch.placement.table import DRAINING, STARTING, Placed
from spokeroute.exchange.connect import ConnectJob
from spokeroute.exchange.reasons import Cause, caused_by
from spokeroute.exchange.types import WAIT_SHARE, AttemptDone
from spokeroute.transport.call_messages import Forward
from spokeroute.transport.messages import HeldReport

CONNECT_TIMEOUT_MS = 250
RUN_SMOOTHING = 0.2
SAMPLE_MS = 1_000
QUEUE_FACTOR = 4
QUEUE_EXTRA = 8
WARM_UP_FACTOR = 1.5
WARM_UP_EXTRA_PER_S = 5.0
RATE_WINDOW_MS = 2_000
OLDEST_FIRST_INTERVAL = 4  # of which one is of who has waited the longest
QUEUED_NOTICE_MS = 40  # a call that waits for this long is told to its entry
WARM_UP_WINDOW_MS = 1_050  # a second, and what sends may crowd together on their way


@dataclass(frozen=True, slots=True)
class QueuedCall:
    """A forwarded call in an instance's queue."""

    forward: Forward
    origin: NodeId
    deadline_ms: Ms
    queued_ms: Ms = Ms(0)
    entry_notified: bool = False  # its entry knows that it waits


@dataclass(frozen=True, slots=True)
class DispatchedAttempt:
    """An attempt that was launched, and until when its place is kept if no answer comes."""

    attempt_id: str
    origin: NodeId
    sent_ms: Ms
    reported: bool = False
    release_at_ms: Ms = Ms(-1)


def dispatch_order(queue: tuple[QueuedCall, ...], turns: int) -> tuple[QueuedCall, ...]:
    """Calls that wait, in the order in which they get their turns after so many: of four turns
    one is of who has waited the longest, the others of the most urgent, first come first.

    Example:
        dispatch_order((), 0) == ()
    """
    ranks = {each.forward.rank for each in queue}
    if len(ranks) < 2:
        return queue
    by_age = sorted(queue, key=lambda each: each.queued_ms)
    by_rank = sorted(by_age, key=lambda each: each.forward.rank)
    order: list[QueuedCall] = []
    while by_age:
        oldest = (turns + len(order)) % OLDEST_FIRST_INTERVAL == 0
        chosen = by_age[0] if oldest else by_rank[0]
        by_age.remove(chosen)
        by_rank.remove(chosen)
        order.append(chosen)
    return tuple(order)


@dataclass(frozen=True, slots=True)
class HeldInstance:
    """One instance that this process holds, with its queue and its limit."""

    placed: Placed
    queue: tuple[QueuedCall, ...] = ()
    in_flight: Map[str, DispatchedAttempt] = field(default_factory=Map)
    cold_sends_ms: tuple[Ms, ...] = ()  # sends while cold, within the last second
    recent_answers_ms: tuple[Ms, ...] = ()  # whole answers, within the rate's window
    busy_ms: float = 0.0  # in flight times time, in this sample
    sampled_ms: Ms = Ms(0)
    sample_start_ms: Ms = Ms(0)
    mean_milli: int = 0
    answered: int = 0
    failures: int = 0
    confirmed: bool = False
    backoff_ms: int = 0  # how long it is left alone after it could not be reached
    backoff_until_ms: Ms = Ms(-1)
    held_since_ms: Ms = Ms(0)  # since when this process holds it
    reached: bool = False  # a connect succeeded while it started
    connecting: bool = False
    next_connect_ms: Ms = Ms(0)  # the next connect
    refused: bool = False  # nothing listens there any more
    run_ms: float = 0.0  # how long a call usually takes there
    reported_status: str = ""  # the last word that the core was told of it
    unheld: bool = False  # nobody living holds it: one call at a time, until somebody does
    dispatch_count: int = 0  # how many calls it was handed

    @property
    def booting(self) -> bool:
        """Whether nothing may be sent yet: it starts, and was never reached.

        Example:
            HeldInstance(placed).booting is False
        """
        return self.placed.state == STARTING and not self.reached

    @property
    def drained(self) -> bool:
        """Whether it drains, and nothing runs there: nothing will be sent any more.

        Example:
            HeldInstance(placed).drained is False
        """
        return self.placed.state == DRAINING and not self.in_flight and not self.queue

    @property
    def status_to_report(self) -> str:
        """What the core should hear of it at once; empty for nothing.

        Example:
            HeldInstance(placed).status_to_report == ""
        """
        if self.refused:
            return "refused"
        if self.drained:
            return "quiet"
        return "reached" if self.reached and self.placed.state == STARTING else ""

    def with_sample(self, now_ms: Ms) -> HeldInstance:
        """With what was in flight since it was last asked.

        Example:
            HeldInstance(placed).with_sample(Ms(20)).busy_ms == 0.0
        """
        span_ms = now_ms - self.sampled_ms
        busy_ms = self.busy_ms + len(self.in_flight) * span_ms
        return replace(self, busy_ms=busy_ms, sampled_ms=now_ms)

    def with_new_sample(self, now_ms: Ms) -> HeldInstance:
        """With a new sample begun, and the mean of the last one, where that is long enough.

        Example:
            HeldInstance(placed).with_new_sample(Ms(1_000)).mean_milli == 0
        """
        instance = self.with_sample(now_ms)
        span_ms = now_ms - instance.sample_start_ms
        if span_ms < SAMPLE_MS:
            return instance
        mean_milli = int(instance.busy_ms * 1000 / max(1, span_ms))
        return replace(
            instance,
            mean_milli=mean_milli,
            busy_ms=0.0,
            sample_start_ms=now_ms,
            answered=0,
            failures=0,
        )

    def report(self, mean_milli: int) -> HeldReport:
        """What the core hears of it, with this mean of the last whole sample.

        Example:
            HeldInstance(placed).report(0).confirmed is False
        """
        return HeldReport(
            self.placed.id, mean_milli, self.answered, self.failures, self.confirmed,
            self.drained, self.refused, int(self.run_ms),
        )  # fmt: skip

    def smoothed_run_ms(self, took_ms: int) -> float:
        """How long a call usually takes here, after one that took this long.

        Example:
            HeldInstance(placed).smoothed_run_ms(40) == 40.0
        """
        if not self.run_ms:
            return float(max(1, took_ms))
        return self.run_ms + RUN_SMOOTHING * (took_ms - self.run_ms)

    def estimated_wait_ms(self, position: int) -> float:
        """In how long the call at this position of the queue gets its turn, by how long calls
        usually take here; half of each run that is under way has passed. 0 before any ended.

        Example:
            HeldInstance(placed).estimated_wait_ms(3) == 0.0
        """
        return self.run_ms * (position + len(self.in_flight) / 2) / max(1, self.placed.limit)

    def with_queued(self, waiting: QueuedCall) -> HeldInstance:
        """With one call more in the queue, which stands in the order of turns.

        Example:
            HeldInstance(placed).with_queued(waiting).queue == (waiting,)
        """
        return replace(self, queue=dispatch_order((*self.queue, waiting), self.dispatch_count))

    def without_unservable(self, forward: Forward) -> HeldInstance | None:
        """Without a call that just came, as it may not stay in the queue: that is over its bound,
        or the call's turn would come too late in its wait. None where it may, or is handed on.

        Example:
            HeldInstance(placed).without_unservable(forward) is None
        """
        found = (i for i, each in enumerate(self.queue) if each.forward is forward)
        position = next(found, None)
        if position is None:
            return None
        full = len(self.queue) > QUEUE_FACTOR * self.placed.limit + QUEUE_EXTRA
        if not full and self.estimated_wait_ms(position) <= WAIT_SHARE * forward.wait_left_ms:
            return None
        return replace(self, queue=(*self.queue[:position], *self.queue[position + 1 :]))

    def _warm_up_allows(self, now_ms: Ms) -> bool:
        """Whether a cold instance may get one more: in any second one and a half times its own
        rate, plus five."""
        answered = sum(1 for at_ms in self.recent_answers_ms if now_ms - at_ms < RATE_WINDOW_MS)
        rate = answered * 1000.0 / RATE_WINDOW_MS
        sent = sum(1 for at_ms in self.cold_sends_ms if now_ms - at_ms < WARM_UP_WINDOW_MS)
        return sent + 1 <= WARM_UP_FACTOR * rate + WARM_UP_EXTRA_PER_S

    def has_capacity(self, now_ms: Ms) -> bool:
        """Whether a call may be handed to it now, by its limit and its warm-up rate.

        Example:
            HeldInstance(placed).room(Ms(20))
        """
        if self.booting or len(self.in_flight) >= self.placed.limit:
            return False
        return self.placed.warm or self._warm_up_allows(now_ms)

    def with_dispatched(self, waiting: QueuedCall, now_ms: Ms) -> HeldInstance:
        """With a call handed to the instance.

        Example:
            HeldInstance(placed).with_dispatched(waiting, Ms(20)).in_flight
        """
        attempt_id = waiting.forward.attempt_id
        handed = DispatchedAttempt(attempt_id, waiting.origin, now_ms)
        kept = [at_ms for at_ms in self.cold_sends_ms if now_ms - at_ms < WARM_UP_WINDOW_MS]
        cold_ms = () if self.placed.warm else (*kept, now_ms)
        instance = self.with_sample(now_ms)
        turns = instance.dispatch_count + 1
        more = instance.in_flight.set(attempt_id, handed)
        return replace(instance, in_flight=more, cold_sends_ms=cold_ms, dispatch_count=turns)

    def with_ended(
        self, done: AttemptDone, handed: DispatchedAttempt, run_ms: int, now_ms: Ms
    ) -> HeldInstance:
        """After an attempt's end. One that may still run keeps its place until it can't.

        Example:
            HeldInstance(placed).with_ended(done, dispatched, 1_000, Ms(20)).in_flight
        """
        if done.ran == Ran.MAYBE:
            free_at_ms = Ms(max(now_ms, handed.sent_ms + run_ms))
            kept = replace(handed, reported=True, release_at_ms=free_at_ms)
            instance = replace(self, in_flight=self.in_flight.set(done.attempt_id, kept))
        else:
            instance = replace(self, in_flight=self.in_flight.delete(done.attempt_id))
        if done.ran == Ran.YES:
            return replace(
                instance, answered=instance.answered + 1,
                recent_answers_ms=(*instance.recent_answers_ms, now_ms)[-200:], confirmed=True,
                backoff_ms=0,
                run_ms=instance.smoothed_run_ms(now_ms - handed.sent_ms),
            )  # fmt: skip
        if caused_by(done.reason, Cause.UNREACHED, Cause.BAD_ANSWER, Cause.LOST):
            return replace(instance, failures=instance.failures + 1, confirmed=done.confirmed)
        return instance

    def with_expired_removed(self, now_ms: Ms) -> HeldInstance:
        """Without the attempts that can't run any more, whose places were kept till now.

        Example:
            HeldInstance(placed).with_expired_removed(Ms(20)).in_flight
        """
        over = [
            each
            for each in self.in_flight.values()
            if each.reported and now_ms >= each.release_at_ms
        ]
        if not over:
            return self
        left = self.in_flight
        for each in over:
            left = left.delete(each.attempt_id)
        return replace(self.with_sample(now_ms), in_flight=left)

    def should_notify_entry(self, waiting: QueuedCall, now_ms: Ms) -> bool:
        """Whether a queued call's entry should hear now that it waits. What waits for a start
        waits for it: the entry chose so.

        Example:
            HeldInstance(placed).should_notify_entry(waiting, Ms(40))
        """
        if self.booting or waiting.entry_notified:
            return False
        return now_ms - waiting.queued_ms >= QUEUED_NOTICE_MS

    def backoff_reason(self, now_ms: Ms) -> str:
        """Why nothing is sent after it could not be reached; empty where it may be.

        Example:
            HeldInstance(placed).backoff_reason(Ms(20)) == ""
        """
        if now_ms >= self.backoff_until_ms:
            return ""
        return Cause.DOWN.with_detail("it could not be reached lately")

    def connect_due(self, now_ms: Ms) -> bool:
        """Whether it should be looked now whether it is up: it starts, and no look is under way.

        Example:
            HeldInstance(placed).connect_due(Ms(20)) is False
        """
        if not self.booting or self.connecting or not self.placed.address:
            return False
        return now_ms >= self.next_connect_ms

    def connect_job(self) -> ConnectJob:
        """The job that looks whether anything listens at its address.

        Example:
            HeldInstance(placed).connect_job().address == placed.address
        """
        return ConnectJob(self.placed.id, self.placed.address, CONNECT_TIMEOUT_MS)
