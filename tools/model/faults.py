"""Planted faults: each is one mistake in a core, put there from outside for the time of a run.

They show what the checker is worth: each must be found (``tests/test_model.py``). Nothing in
the product knows of them.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from unittest import mock

from spokeroute.transport.messages import Accepted, Promise
from tools.model import patches, patches_membership
from tools.model.patches import Patch


@dataclass(frozen=True, slots=True)
class Fault:
    """A planted fault and the scenario in which it is looked for."""

    name: str
    about: str
    scenario: str
    patches: Callable[[], tuple[Patch, ...]]


@contextlib.contextmanager
def planted(fault: Fault | None) -> Iterator[None]:
    """The cores with a fault in them, while this lasts.

    Example:
        with planted(FAULTS["lowest-ballot"]): ...
    """
    with contextlib.ExitStack() as stack:
        for owner, name, faulty in fault.patches() if fault else ():
            stack.enter_context(mock.patch.object(owner, name, faulty))
        yield


FAULTS = {
    each.name: each
    for each in (
        Fault("prepare-any-epoch", "the epoch check left out in prepare", "replaced",
              patches.prepare_any_epoch),
        Fault("accept-any-epoch", "the epoch check left out in accept", "handed",
              patches.accept_any_epoch),
        Fault("handover-any-epoch", "the epoch check left out in a handover", "handed",
              patches.handover_any_epoch),
        Fault("handover-below-promise", "a late handover taken below the promise", "handed",
              patches.handover_below_promise),
        Fault("accept-below-promise", "an accept taken below the promise", "rounds",
              patches.accept_below_promise),
        Fault("promise-before-sync", "a promise answered before its sync", "disks",
              patches.answer_early(Promise)),
        Fault("accept-before-sync", "an accept answered before its sync", "disks",
              patches.answer_early(Accepted)),
        Fault("copy-from-silent", "cells copied from a member that never voted", "grown-unheard",
              patches_membership.copy_from_silent),
        Fault("copy-from-unmoved", "cells copied from a member of the old epoch", "joining",
              patches_membership.copy_from_unmoved),
        Fault("copy-from-minority", "cells copied from one previous member", "replaced",
              patches_membership.copy_from_minority),
        Fault("vote-before-copy", "a newcomer votes before it copied", "replaced",
              patches_membership.vote_before_copy),
        Fault("old-majority", "a majority of the old roster's size", "grown-voting",
              patches_membership.old_majority),
        Fault("lowest-ballot", "the value of the lowest ballot is taken up", "rounds",
              patches.lowest_ballot),
        Fault("blind-roster", "the roster is swapped without its version", "second-blank",
              patches_membership.blind_roster),
        Fault("memory-after-failure", "memory kept after a write that failed", "disks",
              patches.memory_after_failure),
        Fault("id-kept", "a wiped disk keeps its member's id", "disks-wiped",
              patches_membership.id_kept),
        Fault("found-beside-members", "founding while a seed is not blank", "founding-low",
              patches_membership.found_beside_members),
        Fault("found-on-old-signs", "founding on signs of life from before a disk was lost",
              "founding", patches_membership.found_on_old_signs),
        Fault("leave-at-once", "a member that leaves takes what it handed over for taken",
              "leaving", patches_membership.leave_at_once),
        Fault("joining-forgotten", "who has yet to copy is forgotten by the next epoch",
              "grown-unheard", patches_membership.joining_forgotten),
        Fault("read-from-one", "a value that one member has counts as chosen", "rounds",
              patches.read_from_one),
        Fault("refused-for-unsure", "an overtaken offer is called refused", "overtaken",
              patches.refused_for_unsure),
        Fault("ballots-forgotten", "a ballot is drawn again for a register's next round",
              "lives-late", patches.ballots_forgotten),
        Fault("ballots-of-another-life", "a restarted proposer draws its old ballots again",
              "lives-again", patches.ballots_of_another_life),
        Fault("copied-votes", "a copied value counts as a vote for it", "grown-copied",
              patches.copied_votes),
        Fault("epoch-back", "a late roster of an earlier epoch is adopted", "grown-unheard",
              patches_membership.epoch_back),
    )
}  # fmt: skip
