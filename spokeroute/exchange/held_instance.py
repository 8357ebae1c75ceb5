"""A holder's state of one instance: its queue, its attempts in flight and its health."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.answers import Ran
from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.dispatch.placement.table import DRAINING, STARTING, Placed
from spokeroute.dispatch.scaling.cold_rate import (
    RATE_SECOND_MS,
    TAKEOVER_WAIT_MS,
    ColdRate,
    arrivals_in_second,
)
from spokeroute.exchange.connect import ConnectJob
from spokeroute.exchange.reasons import Cause, caused_by
from spokeroute.exchange.types import WAIT_SHARE, AttemptDone
from spokeroute.transport.call_messages import Forward
from spokeroute.transport.messages import HeldReport

CONNECT_TIMEOUT_MS = 250
RUN_SMOOTHING = 0.2  # weight of a new sample in the moving average of run times
SAMPLE_MS = 1_000  # length of a load sample
QUEUE_FACTOR = 4  # a queue holds at most QUEUE_FACTOR * limit + QUEUE_EXTRA calls
QUEUE_EXTRA = 8
WARM_UP_FACTOR = 1.5
WARM_UP_EXTRA_PER_S = 5.0
RATE_WINDOW_MS = 2_000
OLDEST_FIRST_INTERVAL = 4  # every fourth dispatch goes to the oldest call, whatever its priority
QUEUED_NOTICE_MS = 40  # the entry is notified of a call that has been queued for this long
WARM_UP_WINDOW_MS = 1_050  # one second, plus 50 ms because sends may bunch up on their way


@dataclass(frozen=True, slots=True)
class QueuedCall:
    """A forwarded call in an instance's queue."""

    forward: Forward
    origin: NodeId
    deadline_ms: Ms
    queued_ms: Ms = Ms(0)
    entry_notified: bool = False  # its entry was told that it is queued


@dataclass(frozen=True, slots=True)
class DispatchedAttempt:
    """A launched attempt, and when its slot is released if no answer arrives."""

    attempt_id: str
    origin: NodeId
    sent_ms: Ms
    reported: bool = False
    release_at_ms: Ms = Ms(-1)


def dispatch_order(queue: tuple[QueuedCall, ...], dispatch_count: int) -> tuple[QueuedCall, ...]:
    """Queued calls in their dispatch order, after ``dispatch_count`` earlier dispatches. One
    dispatch in four takes the oldest call; the others take the most urgent, first in first out.

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
        oldest = (dispatch_count + len(order)) % OLDEST_FIRST_INTERVAL == 0
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
    cold_sends_ms: tuple[Ms, ...] = ()  # dispatches while cold, within WARM_UP_WINDOW_MS
    recent_answers_ms: tuple[Ms, ...] = ()  # complete answers, within RATE_WINDOW_MS
    busy_ms: float = 0.0  # attempts in flight, integrated over this sample
    sampled_ms: Ms = Ms(0)
    sample_start_ms: Ms = Ms(0)
    mean_milli: int = 0
    answered: int = 0
    failures: int = 0
    confirmed: bool = False
    backoff_ms: int = 0  # how long no call is sent after a failed connect
    backoff_until_ms: Ms = Ms(-1)
    held_since_ms: Ms = Ms(0)
    reached: bool = False  # a connect succeeded while it was starting
    connecting: bool = False
    next_connect_ms: Ms = Ms(0)
    refused: bool = False  # the connection was refused: nothing listens there any more
    run_ms: float = 0.0  # moving average of the run time of a call
    reported_status: str = ""  # the last status that the registries were sent
    unheld: bool = False  # it has no live holder: one call at a time until it has one
    dispatch_count: int = 0
    cold_rate: ColdRate | None = None  # stated for its service; None: by what it answers
    cold_ends_ms: tuple[Ms, ...] = ()  # ends of calls that reached it cold, within a second
    cold_from_ms: Ms = Ms(-1)  # nothing is sent while it is cold before this
    fresh: bool = False  # no process can have sent to it before this one held it

    @property
    def booting(self) -> bool:
        """Whether it is starting and was never reached, so that nothing may be sent yet.

        Example:
            HeldInstance(placed).booting is False
        """
        return self.placed.state == STARTING and not self.reached

    @property
    def drained(self) -> bool:
        """Whether it is draining with nothing in flight or queued: nothing more will be sent.

        Example:
            HeldInstance(placed).drained is False
        """
        return self.placed.state == DRAINING and not self.in_flight and not self.queue

    @property
    def status_to_report(self) -> str:
        """The status that the registries should learn at once; empty for none.

        Example:
            HeldInstance(placed).status_to_report == ""
        """
        if self.refused:
            return "refused"
        if self.drained:
            return "quiet"
        return "reached" if self.reached and self.placed.state == STARTING else ""

    def with_sample(self, now_ms: Ms) -> HeldInstance:
        """With the load since the last call added to the current sample.

        Example:
            HeldInstance(placed).with_sample(Ms(20)).busy_ms == 0.0
        """
        span_ms = now_ms - self.sampled_ms
        busy_ms = self.busy_ms + len(self.in_flight) * span_ms
        return replace(self, busy_ms=busy_ms, sampled_ms=now_ms)

    def with_new_sample(self, now_ms: Ms) -> HeldInstance:
        """With the mean of the current sample and a new one begun, if the current is long enough.

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
        """The report for the registries, with this mean of the last complete sample.

        Example:
            HeldInstance(placed).report(0).confirmed is False
        """
        return HeldReport(
            self.placed.id, mean_milli, self.answered, self.failures, self.confirmed,
            self.drained, self.refused, int(self.run_ms),
        )  # fmt: skip

    def smoothed_run_ms(self, took_ms: int) -> float:
        """The moving average of run times, after a run that took this long.

        Example:
            HeldInstance(placed).smoothed_run_ms(40) == 40.0
        """
        if not self.run_ms:
            return float(max(1, took_ms))
        return self.run_ms + RUN_SMOOTHING * (took_ms - self.run_ms)

    def estimated_wait_ms(self, position: int) -> float:
        """The expected time until the call at this queue position is dispatched, by the average
        run time; runs in flight count as half done. 0 before any run has ended.

        Example:
            HeldInstance(placed).estimated_wait_ms(3) == 0.0
        """
        run_wait_ms = self.run_ms * (position + len(self.in_flight) / 2) / max(1, self.placed.limit)
        if self.placed.warm or self.cold_rate is None:
            return run_wait_ms
        return max(run_wait_ms, position * RATE_SECOND_MS / self.cold_rate.most_per_s)

    def with_queued(self, queued: QueuedCall) -> HeldInstance:
        """With one more call in the queue, which is kept in dispatch order.

        Example:
            HeldInstance(placed).with_queued(queued).queue == (queued,)
        """
        return replace(self, queue=dispatch_order((*self.queue, queued), self.dispatch_count))

    def without_unservable(self, forward: Forward) -> HeldInstance | None:
        """Without a call that just arrived, if the queue is over its bound or the call would be
        dispatched too late in its wait. None if the call may stay or is dispatched already.

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
        """Whether a cold instance may get one more call: in any second it gets at most 1.5 times
        its own answer rate, plus five."""
        answered = sum(1 for at_ms in self.recent_answers_ms if now_ms - at_ms < RATE_WINDOW_MS)
        rate = answered * 1000.0 / RATE_WINDOW_MS
        sent = sum(1 for at_ms in self.cold_sends_ms if now_ms - at_ms < WARM_UP_WINDOW_MS)
        return sent + 1 <= WARM_UP_FACTOR * rate + WARM_UP_EXTRA_PER_S

    def has_capacity(self, now_ms: Ms, proof_age_ms: int = 0) -> bool:
        """Whether its limit and its warm-up rate allow one more call now, by a proof of this age.

        Example:
            HeldInstance(placed).has_capacity(Ms(20))
        """
        if self.booting or len(self.in_flight) >= self.placed.limit:
            return False
        if self.placed.warm:
            return True
        if self.cold_rate is None:
            return self._warm_up_allows(now_ms)
        arrivals = arrivals_in_second(self.cold_ends_ms, len(self.in_flight), now_ms)
        return now_ms >= self.cold_from_ms and arrivals < self.cold_rate.allowed(proof_age_ms)

    def with_takeover_wait(self, now_ms: Ms) -> HeldInstance:
        """Taken over from a holder that may have sent calls lately, and may still trickle.

        Example:
            HeldInstance(placed).with_takeover_wait(Ms(20)).cold_from_ms > 20
        """
        if self.cold_rate is None:
            return self
        return replace(self, cold_from_ms=Ms(now_ms + TAKEOVER_WAIT_MS))

    def with_dispatched(self, queued: QueuedCall, now_ms: Ms) -> HeldInstance:
        """With a call dispatched to the instance.

        Example:
            HeldInstance(placed).with_dispatched(queued, Ms(20)).in_flight
        """
        attempt_id = queued.forward.attempt_id
        attempt = DispatchedAttempt(attempt_id, queued.origin, now_ms)
        recent = [at_ms for at_ms in self.cold_sends_ms if now_ms - at_ms < WARM_UP_WINDOW_MS]
        cold_sends_ms = () if self.placed.warm else (*recent, now_ms)
        instance = self.with_sample(now_ms)
        dispatch_count = instance.dispatch_count + 1
        in_flight = instance.in_flight.set(attempt_id, attempt)
        return replace(
            instance,
            in_flight=in_flight,
            cold_sends_ms=cold_sends_ms,
            dispatch_count=dispatch_count,
        )

    def with_ended(
        self, done: AttemptDone, attempt: DispatchedAttempt, longest_run_ms: int, now_ms: Ms
    ) -> HeldInstance:
        """After the end of an attempt. One that may still be running keeps its slot until it can't.

        Example:
            HeldInstance(placed).with_ended(done, dispatched, 1_000, Ms(20)).in_flight
        """
        if done.ran == Ran.MAYBE:
            release_at_ms = Ms(max(now_ms, attempt.sent_ms + longest_run_ms))
            pending = replace(attempt, reported=True, release_at_ms=release_at_ms)
            instance = replace(self, in_flight=self.in_flight.set(done.attempt_id, pending))
        else:
            instance = replace(self, in_flight=self.in_flight.delete(done.attempt_id))
        if done.ran != Ran.NO or caused_by(done.reason, Cause.REFUSED):
            instance = instance._with_cold_end(now_ms)
        if done.ran == Ran.YES:
            return replace(
                instance, answered=instance.answered + 1,
                recent_answers_ms=(*instance.recent_answers_ms, now_ms)[-200:], confirmed=True,
                backoff_ms=0,
                run_ms=instance.smoothed_run_ms(now_ms - attempt.sent_ms),
            )  # fmt: skip
        if caused_by(done.reason, Cause.UNREACHED, Cause.BAD_ANSWER, Cause.LOST):
            return replace(instance, failures=instance.failures + 1, confirmed=done.confirmed)
        return instance

    def _with_cold_end(self, now_ms: Ms) -> HeldInstance:
        """After the end of a call that reached it."""
        if self.placed.warm or self.cold_rate is None:
            return replace(self, cold_ends_ms=()) if self.cold_ends_ms else self
        recent = [at_ms for at_ms in self.cold_ends_ms if now_ms - at_ms < RATE_SECOND_MS]
        return replace(self, cold_ends_ms=(*recent, now_ms))

    def with_expired_removed(self, now_ms: Ms) -> HeldInstance:
        """Without the unanswered attempts that can no longer be running.

        Example:
            HeldInstance(placed).with_expired_removed(Ms(20)).in_flight
        """
        expired = [
            each
            for each in self.in_flight.values()
            if each.reported and now_ms >= each.release_at_ms
        ]
        if not expired:
            return self
        in_flight = self.in_flight
        for each in expired:
            in_flight = in_flight.delete(each.attempt_id)
        return replace(self.with_sample(now_ms), in_flight=in_flight)

    def should_notify_entry(self, queued: QueuedCall, now_ms: Ms) -> bool:
        """Whether the entry should be told now that its call is queued. It is not told of a call
        that waits for the instance to start, because the entry chose that itself.

        Example:
            HeldInstance(placed).should_notify_entry(queued, Ms(40))
        """
        if self.booting or queued.entry_notified:
            return False
        return now_ms - queued.queued_ms >= QUEUED_NOTICE_MS

    def backoff_reason(self, now_ms: Ms) -> str:
        """Why nothing is sent during the back-off after a failed connect; empty outside of it.

        Example:
            HeldInstance(placed).backoff_reason(Ms(20)) == ""
        """
        if now_ms >= self.backoff_until_ms:
            return ""
        return Cause.DOWN.with_detail("it could not be reached lately")

    def connect_due(self, now_ms: Ms) -> bool:
        """Whether a connect to the starting instance is due and none is under way.

        Example:
            HeldInstance(placed).connect_due(Ms(20)) is False
        """
        if not self.booting or self.connecting or not self.placed.address:
            return False
        return now_ms >= self.next_connect_ms

    def connect_job(self) -> ConnectJob:
        """The job that checks whether anything listens at its address.

        Example:
            HeldInstance(placed).connect_job().address == placed.address
        """
        return ConnectJob(self.placed.id, self.placed.address, CONNECT_TIMEOUT_MS)
