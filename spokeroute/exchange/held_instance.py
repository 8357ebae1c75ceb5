"""What a holder keeps of one instance: its queue, what it was handed, and how it does."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.answers import Ran
from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.dispatch.placement.table import DRAINING, STARTING, Placed
from spokeroute.exchange.connect import Connect
from spokeroute.exchange.reasons import Cause, caused_by
from spokeroute.exchange.types import WAIT_SHARE, AttemptDone
from spokeroute.transport.call_messages import Forward
from spokeroute.transport.messages import HeldReport

CONNECT_WAIT_MS = 250
RUN_SHARE = 0.2
SAMPLE_MS = 1_000
QUEUE_FACTOR = 4
QUEUE_PLUS = 8
COLD_FACTOR = 1.5
COLD_PLUS_PER_S = 5.0
RATE_WINDOW_MS = 2_000
TURNS_IN_ROUND = 4  # of which one is of who has waited the longest
QUEUED_TOLD_MS = 40  # a call that waits for this long is told to its entry
COLD_SPAN_MS = 1_050  # a second, and what sends may crowd together on their way


@dataclass(frozen=True, slots=True)
class Waiting:
    """A forwarded call in an instance's queue."""

    forward: Forward
    origin: NodeId
    deadline_ms: Ms
    since_ms: Ms = Ms(0)
    told: bool = False  # its entry knows that it waits


@dataclass(frozen=True, slots=True)
class Handed:
    """An attempt that was launched, and until when its place is kept if no answer comes."""

    attempt_id: str
    origin: NodeId
    sent_ms: Ms
    reported: bool = False
    free_at_ms: Ms = Ms(-1)


def in_turn(queue: tuple[Waiting, ...], turns: int) -> tuple[Waiting, ...]:
    """Calls that wait, in the order in which they get their turns after so many: of four turns
    one is of who has waited the longest, the others of the most urgent, first come first.

    Example:
        in_turn((), 0) == ()
    """
    ranks = {each.forward.rank for each in queue}
    if len(ranks) < 2:
        return queue
    by_age = sorted(queue, key=lambda each: each.since_ms)
    by_rank = sorted(by_age, key=lambda each: each.forward.rank)
    order: list[Waiting] = []
    while by_age:
        oldest = (turns + len(order)) % TURNS_IN_ROUND == 0
        chosen = by_age[0] if oldest else by_rank[0]
        by_age.remove(chosen)
        by_rank.remove(chosen)
        order.append(chosen)
    return tuple(order)


@dataclass(frozen=True, slots=True)
class HeldInstance:
    """One instance that this process holds, with its queue and its limit."""

    placed: Placed
    queue: tuple[Waiting, ...] = ()
    handed: Map[str, Handed] = field(default_factory=Map)
    cold_ms: tuple[Ms, ...] = ()  # sends while cold, within the last second
    answered_ms: tuple[Ms, ...] = ()  # whole answers, within the rate's window
    busy_ms: float = 0.0  # in flight times time, in this sample
    sampled_ms: Ms = Ms(0)
    sample_start_ms: Ms = Ms(0)
    mean_milli: int = 0
    answered: int = 0
    failures: int = 0
    confirmed: bool = False
    down_ms: int = 0  # how long it is left alone after it could not be reached
    down_until_ms: Ms = Ms(-1)
    held_since_ms: Ms = Ms(0)  # since when this process holds it
    reached: bool = False  # a connect succeeded while it started
    connecting: bool = False
    connect_ms: Ms = Ms(0)  # the next connect
    refused: bool = False  # nothing listens there any more
    run_ms: float = 0.0  # how long a call usually takes there
    said: str = ""  # the last word that the core was told of it
    unheld: bool = False  # nobody living holds it: one call at a time, until somebody does
    turns: int = 0  # how many calls it was handed

    @property
    def booting(self) -> bool:
        """Whether nothing may be sent yet: it starts, and was never reached.

        Example:
            HeldInstance(placed).booting is False
        """
        return self.placed.state == STARTING and not self.reached

    @property
    def quiet(self) -> bool:
        """Whether it drains, and nothing runs there: nothing will be sent any more.

        Example:
            HeldInstance(placed).quiet is False
        """
        return self.placed.state == DRAINING and not self.handed and not self.queue

    @property
    def word(self) -> str:
        """What the core should hear of it at once; empty for nothing.

        Example:
            HeldInstance(placed).word == ""
        """
        if self.refused:
            return "refused"
        if self.quiet:
            return "quiet"
        return "reached" if self.reached and self.placed.state == STARTING else ""

    def sampled(self, now_ms: Ms) -> HeldInstance:
        """With what was in flight since it was last asked.

        Example:
            HeldInstance(placed).sampled(Ms(20)).busy_ms == 0.0
        """
        span_ms = now_ms - self.sampled_ms
        busy_ms = self.busy_ms + len(self.handed) * span_ms
        return replace(self, busy_ms=busy_ms, sampled_ms=now_ms)

    def measured(self, now_ms: Ms) -> HeldInstance:
        """With a new sample begun, and the mean of the last one, where that is long enough.

        Example:
            HeldInstance(placed).measured(Ms(1_000)).mean_milli == 0
        """
        instance = self.sampled(now_ms)
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
            self.quiet, self.refused, int(self.run_ms),
        )  # fmt: skip

    def usual(self, took_ms: int) -> float:
        """How long a call usually takes here, after one that took this long.

        Example:
            HeldInstance(placed).usual(40) == 40.0
        """
        if not self.run_ms:
            return float(max(1, took_ms))
        return self.run_ms + RUN_SHARE * (took_ms - self.run_ms)

    def turn_ms(self, position: int) -> float:
        """In how long the call at this position of the queue gets its turn, by how long calls
        usually take here; half of each run that is under way has passed. 0 before any ended.

        Example:
            HeldInstance(placed).turn_ms(3) == 0.0
        """
        return self.run_ms * (position + len(self.handed) / 2) / max(1, self.placed.limit)

    def joined(self, waiting: Waiting) -> HeldInstance:
        """With one call more in the queue, which stands in the order of turns.

        Example:
            HeldInstance(placed).joined(waiting).queue == (waiting,)
        """
        return replace(self, queue=in_turn((*self.queue, waiting), self.turns))

    def without_room_for(self, forward: Forward) -> HeldInstance | None:
        """Without a call that just came, as it may not stay in the queue: that is over its bound,
        or the call's turn would come too late in its wait. None where it may, or is handed on.

        Example:
            HeldInstance(placed).without_room_for(forward) is None
        """
        found = (i for i, each in enumerate(self.queue) if each.forward is forward)
        position = next(found, None)
        if position is None:
            return None
        full = len(self.queue) > QUEUE_FACTOR * self.placed.limit + QUEUE_PLUS
        if not full and self.turn_ms(position) <= WAIT_SHARE * forward.wait_left_ms:
            return None
        return replace(self, queue=(*self.queue[:position], *self.queue[position + 1 :]))

    def _cold_room(self, now_ms: Ms) -> bool:
        """Whether a cold instance may get one more: in any second one and a half times its own
        rate, plus five."""
        answered = sum(1 for at_ms in self.answered_ms if now_ms - at_ms < RATE_WINDOW_MS)
        rate = answered * 1000.0 / RATE_WINDOW_MS
        sent = sum(1 for at_ms in self.cold_ms if now_ms - at_ms < COLD_SPAN_MS)
        return sent + 1 <= COLD_FACTOR * rate + COLD_PLUS_PER_S

    def room(self, now_ms: Ms) -> bool:
        """Whether a call may be handed to it now, by its limit and its warm-up rate.

        Example:
            HeldInstance(placed).room(Ms(20))
        """
        if self.booting or len(self.handed) >= self.placed.limit:
            return False
        return self.placed.warm or self._cold_room(now_ms)

    def handing(self, waiting: Waiting, now_ms: Ms) -> HeldInstance:
        """With a call handed to the instance.

        Example:
            HeldInstance(placed).handing(waiting, Ms(20)).handed
        """
        attempt_id = waiting.forward.attempt_id
        handed = Handed(attempt_id, waiting.origin, now_ms)
        kept = [at_ms for at_ms in self.cold_ms if now_ms - at_ms < COLD_SPAN_MS]
        cold_ms = () if self.placed.warm else (*kept, now_ms)
        instance = self.sampled(now_ms)
        turns = instance.turns + 1
        more = instance.handed.set(attempt_id, handed)
        return replace(instance, handed=more, cold_ms=cold_ms, turns=turns)

    def ended(self, done: AttemptDone, handed: Handed, run_ms: int, now_ms: Ms) -> HeldInstance:
        """After an attempt's end. One that may still run keeps its place until it can't.

        Example:
            HeldInstance(placed).ended(done, handed, 1_000, Ms(20)).handed
        """
        if done.ran == Ran.MAYBE:
            free_at_ms = Ms(max(now_ms, handed.sent_ms + run_ms))
            kept = replace(handed, reported=True, free_at_ms=free_at_ms)
            instance = replace(self, handed=self.handed.set(done.attempt_id, kept))
        else:
            instance = replace(self, handed=self.handed.delete(done.attempt_id))
        if done.ran == Ran.YES:
            return replace(
                instance, answered=instance.answered + 1,
                answered_ms=(*instance.answered_ms, now_ms)[-200:], confirmed=True, down_ms=0,
                run_ms=instance.usual(now_ms - handed.sent_ms),
            )  # fmt: skip
        if caused_by(done.reason, Cause.UNREACHED, Cause.BAD_ANSWER, Cause.LOST):
            return replace(instance, failures=instance.failures + 1, confirmed=done.confirmed)
        return instance

    def freed(self, now_ms: Ms) -> HeldInstance:
        """Without the attempts that can't run any more, whose places were kept till now.

        Example:
            HeldInstance(placed).freed(Ms(20)).handed
        """
        over = [
            each for each in self.handed.values() if each.reported and now_ms >= each.free_at_ms
        ]
        if not over:
            return self
        left = self.handed
        for each in over:
            left = left.delete(each.attempt_id)
        return replace(self.sampled(now_ms), handed=left)

    def tells(self, waiting: Waiting, now_ms: Ms) -> bool:
        """Whether a queued call's entry should hear now that it waits. What waits for a start
        waits for it: the entry chose so.

        Example:
            HeldInstance(placed).tells(waiting, Ms(40))
        """
        if self.booting or waiting.told:
            return False
        return now_ms - waiting.since_ms >= QUEUED_TOLD_MS

    def down(self, now_ms: Ms) -> str:
        """Why nothing is sent after it could not be reached; empty where it may be.

        Example:
            HeldInstance(placed).down(Ms(20)) == ""
        """
        if now_ms >= self.down_until_ms:
            return ""
        return Cause.DOWN.said("it could not be reached lately")

    def look_due(self, now_ms: Ms) -> bool:
        """Whether it should be looked now whether it is up: it starts, and no look is under way.

        Example:
            HeldInstance(placed).look_due(Ms(20)) is False
        """
        if not self.booting or self.connecting or not self.placed.address:
            return False
        return now_ms >= self.connect_ms

    def look(self) -> Connect:
        """The job that looks whether anything listens at its address.

        Example:
            HeldInstance(placed).look().address == placed.address
        """
        return Connect(self.placed.id, self.placed.address, CONNECT_WAIT_MS)
