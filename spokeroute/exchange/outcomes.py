"""Counts calls that end late, refused or failed, each under one reason, where the call ends.

Only these calls are counted, so that successful calls pay nothing for it. The counts go to the
ledger and the log once a second, and to the metrics endpoint (``spokeroute/metrics.py``).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from immutables import Map

from spokeroute.common.answers import Answer, Kind
from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace
from spokeroute.exchange.pick import STARTING_RULE
from spokeroute.exchange.types import Attempt, Call

MAX_SERVICES = 64  # counted by name
MAX_NAME_CHARS = 64
OTHER_SERVICES = "other"  # all services past MAX_SERVICES
NO_SERVICE = ""  # a call that matched no route


class Outcome(StrEnum):
    """How an unsuccessful call ended."""

    LATE = "late"  # answered after the latency aim of its route
    REFUSED = "refused"  # it did not run
    FAILED = "failed"  # it may have run


class Reason(StrEnum):
    """Why a call was unsuccessful. The values appear in ledgers, logs and metrics."""

    BOOT = "waited_for_boot"
    PLACEMENT = "waited_for_placement"  # for most of its time no instance was placed for it
    QUEUE = "queued_at_holder"
    RETRY = "retried_after_loss"
    CLAIM = "waited_for_claim"
    ENTRY_BUSY = "read_late"  # it waited at this node before it was read
    FAR = "far_instance"
    SLOW_RUN = "slow_run"
    NO_PROOF = "no_proof"
    NO_ROOM = "no_room"  # no instance had room for it in time
    LONG_QUEUE = "queue_too_long"  # refused at once: it would have been dispatched too late
    ENTRY_FULL = "entry_full"
    TOO_FAST = "client_too_fast"
    STOPPING = "stopping"
    UNREACHED = "instance_unreached"
    NO_CORE = "no_core"
    BAD_REQUEST = "bad_request"
    NO_KEY = "no_key"  # its route needs a tenant key, and it has no valid one
    NO_ROUTE = "no_route"
    OLD_NO_ROUTE = "no_route_by_old_proof"  # the table without it was last proved current long ago
    HOLDER_SILENT = "holder_silent"
    HOLDER_LOST = "holder_lost"
    INSTANCE_LOST = "instance_lost"
    BAD_ANSWER = "bad_answer"
    NO_ANSWER = "no_answer_in_time"


REASON_BY_KIND = {
    Kind.NO_ROUTE: Reason.NO_ROUTE,
    Kind.NO_KEY: Reason.NO_KEY,
    Kind.NO_REGION: Reason.BAD_REQUEST,
    Kind.METHOD: Reason.BAD_REQUEST,
    Kind.BAD_WAIT: Reason.BAD_REQUEST,
    Kind.BAD_KEY: Reason.BAD_REQUEST,
    Kind.TOO_LARGE: Reason.BAD_REQUEST,
    Kind.KEY_BODY: Reason.BAD_REQUEST,
    Kind.KEY_TAKEN: Reason.BAD_REQUEST,
    Kind.TOO_FAST: Reason.TOO_FAST,
    Kind.OVERLOAD: Reason.ENTRY_FULL,
    Kind.NO_ROOM: Reason.NO_ROOM,
    Kind.NOT_FRESH: Reason.NO_PROOF,
    Kind.NO_CORE: Reason.NO_CORE,
    Kind.UNREACHED: Reason.UNREACHED,
    Kind.STOPPING: Reason.STOPPING,
    Kind.UNKNOWN: Reason.NO_ANSWER,
    Kind.BAD_ANSWER: Reason.BAD_ANSWER,
    Kind.LOST: Reason.INSTANCE_LOST,
}
MAY_HAVE_RUN = frozenset((Kind.UNKNOWN, Kind.BAD_ANSWER, Kind.LOST))
REASON_BY_LOSS_TEXT = {
    "its holder is silent": Reason.HOLDER_SILENT,
    "its holder began another life": Reason.HOLDER_LOST,
    "the instance's holder is gone": Reason.HOLDER_LOST,
    "the holder's link broke": Reason.HOLDER_LOST,
}

OutcomeKey = tuple[str, str, str]
"""Service, outcome and reason."""


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Counts by service, outcome and reason: since process start and since the last report."""

    total: Map[OutcomeKey, int] = field(default_factory=Map)
    unreported: Map[OutcomeKey, int] = field(default_factory=Map)
    named_services: frozenset[str] = frozenset()  # services counted by name
    reported_batches: int = 0
    reported_ms: Ms = Ms(-(10**9))

    def count(self, service: str, outcome: Outcome, reason: Reason) -> Outcomes:
        """Count one call.

        Example:
            >>> list(Outcomes().count("s", Outcome.LATE, Reason.BOOT).total)
            [('s', 'late', 'waited_for_boot')]
        """
        name = service[:MAX_NAME_CHARS]
        named = self.named_services
        if name not in named:
            if len(named) >= MAX_SERVICES:
                name = OTHER_SERVICES
            named = named | {name}
        key = (name, outcome.value, reason.value)
        return replace(
            self,
            total=self.total.set(key, self.total.get(key, 0) + 1),
            unreported=self.unreported.set(key, self.unreported.get(key, 0) + 1),
            named_services=named,
        )

    def batch(self, now_ms: Ms) -> tuple[Outcomes, tuple[tuple[OutcomeKey, int], ...]]:
        """Take the counts since the last batch, sorted.

        Example:
            >>> Outcomes().batch(Ms(5))[1]
            ()
        """
        rows = tuple(sorted(self.unreported.items()))
        batches = self.reported_batches + 1 if rows else self.reported_batches
        return replace(self, unreported=Map(), reported_batches=batches, reported_ms=now_ms), rows


def late_reason(call: Call, by: Attempt, far: bool, now_ms: Ms) -> Reason:
    """Why a call was answered late: what it waited for before the successful attempt, else what
    that attempt waited for, else the run itself.

    Example:
        late_reason(call, attempt, far=False, now_ms=Ms(900)) == Reason.BOOT
    """
    took_ms = now_ms - call.start_ms + call.request.waited_ms
    if call.tried_instances or call.was_refused:
        return Reason.RETRY
    if 2 * call.request.waited_ms >= took_ms:
        return Reason.ENTRY_BUSY
    if by.rule == STARTING_RULE:
        return Reason.BOOT
    if 2 * (by.sent_ms - call.start_ms) >= took_ms:
        return Reason.CLAIM if call.claimed else Reason.PLACEMENT
    if by.queued or call.send_count > 1:
        return Reason.QUEUE
    return Reason.FAR if far else Reason.SLOW_RUN


def refusal_reason(answer: Answer, why: str = "") -> tuple[Outcome, Reason]:
    """The outcome and reason of an answer that this system gave itself, without an instance.

    Example:
        >>> refusal_reason(Answer(502, (), b"", Kind.LOST), "lost: its holder is silent")[1].value
        'holder_silent'
    """
    kind = answer.kind or Kind.UNKNOWN
    outcome = Outcome.FAILED if kind in MAY_HAVE_RUN else Outcome.REFUSED
    if kind is Kind.LOST:
        return outcome, REASON_BY_LOSS_TEXT.get(why.partition(": ")[2], Reason.INSTANCE_LOST)
    if kind is Kind.NO_ROOM and answer.early:
        return outcome, Reason.LONG_QUEUE
    return outcome, REASON_BY_KIND[kind]


def is_late(call: Call, now_ms: Ms) -> bool:
    """Whether a call that ends now exceeds the latency aim of its route, if that has one.

    Example:
        is_late(call, Ms(900))
    """
    aim_ms = call.route.aim_ms
    return aim_ms > 0 and now_ms - call.start_ms + call.request.waited_ms > aim_ms
