"""How scenarios come to where their searches begin: the common course of a membership change,
so that the depth of a search is spent on what is not common. ``*`` stands for any text."""

from __future__ import annotations


def agreed_round(
    proposer: str, others: tuple[str, ...], register: str, epoch: int = 1
) -> tuple[str, ...]:
    """A round of a register that a majority takes part in.

    Example:
        >>> agreed_round("m1", ("m2",), "floor")[0]
        'deliver m1.*>m2:Prepare(e1,floor,*'
    """
    out: list[str] = []
    for ask, answer in (("Prepare", "Promise"), ("Accept", "Accepted")):
        out.extend(f"deliver {proposer}.*>{m}:{ask}(e{epoch},{register},*" for m in others)
        out.extend(f"deliver {m}.*>{proposer}:{answer}(e{epoch},{register},*" for m in others)
    return tuple(out)


FOUNDING = (
    *(f"tick m{i} 500" for i in (1, 2, 3)),
    *(f"deliver m{i}.*>m{j}:Heartbeat(*" for i in (1, 2, 3) for j in (1, 2, 3) if i != j),
    "deliver m2.*>m1:Heartbeat(e0,*,m1+m3)",
    "deliver m3.*>m1:Heartbeat(e0,*,m1+m2)",
    "tick m1 500",
)
"""All blank seeds heard each other; the roster of epoch 1 is on its way to m2 and m3."""

LATE_PROMISES = (
    "ask a",
    "sync m1",
    "deliver m1.*>m2:Prepare(*",
    "sync m2",
    "repeat m2.*>m1:Promise(*",
    "sync m1",
    "deliver m1.*>m2:Accept(*",
    "sync m2",
    "deliver m2.*>m1:Accepted(*",
    "deliver m1.*>m3:Prepare(*",
    "sync m3",
    "ask x",
    "sync m2",
)
"""A register's first round ended; two of its promises are still, or once more, on their way, and
so is a request that will keep m1's disk busy."""

REPLACED = (
    "wipe m3",
    "tick n1 500",
    "deliver n1.*>m1:Heartbeat*",
    *agreed_round("m1", ("m2",), "roster"),
)
"""The roster of epoch 2, with n1 for m3, is chosen; only m1 has heard of it."""

JOINING = (
    *REPLACED,
    "deliver m1.*>n1:RosterNews(e2*",
    "tick m2 500",
    "deliver m2.*>n1:Heartbeat(e1*",
)
"""n1 is at epoch 2 and is to copy; m2 has not moved yet."""

SECOND_BLANK = (
    "wipe m5",
    "tick n1 500",
    "deliver n1.*>m1:Heartbeat*",
    *agreed_round("m1", ("m2", "m3"), "roster"),
    "wipe n1",
    "tick n2 500",
    "deliver n2.*>m4:Heartbeat*",
    "tick m4 500",
)
"""Epoch 2 has n1 for m5; m4 has not heard of it, and proposes n2."""

HANDED = (
    "ask a",
    *agreed_round("m1", ("m2",), "configuration"),
    "tick m3 500",
    "deliver m3.*>m1:Heartbeat*",
    "wipe m2",
    "tick n1 500",
    "deliver n1.*>m1:Heartbeat*",
    *agreed_round("m1", ("m3",), "roster"),
)
"""A handover to m3 is on its way, and so is the news of epoch 2."""

_SEEN = (
    "tick m2 500",
    "tick m3 500",
    "deliver m2.*>m1:Heartbeat(*",
    "deliver m3.*>m1:Heartbeat(*",
)
_BLANKS_SEEN = (
    "tick n1 500",
    "tick n2 500",
    "deliver n1.*>m1:Heartbeat(*",
    "deliver n2.*>m1:Heartbeat(*",
)
_CHOSEN_5 = (
    "join",
    "join",
    *_BLANKS_SEEN,
    "tick m1 500",
    *_BLANKS_SEEN,
    "tick m1 500",
    *_BLANKS_SEEN,
    "tick m1 500",
    *_SEEN,
    *_BLANKS_SEEN,
    *agreed_round("m1", ("m2",), "roster"),
)
GROWN = (
    *_CHOSEN_5,
    "deliver m1.*>m3:RosterNews(e2*",
    "deliver m1.*>m2:RosterNews(e2*",
    "deliver m1.*>n1:RosterNews(e2*",
    "deliver m1.*>n2:RosterNews(e2*",
)
"""The core grew from three to five; the two newcomers are to copy."""

GROWN_CONTENDED = (
    "ask a",
    "deliver m1.*>m3:Prepare(*",
    "deliver m3.*>m1:Promise(*",
    "ask b",
    "deliver m2.*>m3:Prepare(*",
    "deliver m3.*>m2:Promise(*",
    *GROWN,
)
"""The core grew while two rounds were open: m1 and m2 each accepted another value."""

GROWN_COPIED = (
    *GROWN_CONTENDED,
    *(
        f"deliver {frame}"
        for new in ("n1", "n2")
        for frame in (
            f"m1.*>{new}:Heartbeat(e2*",
            f"m3.*>{new}:Heartbeat(e2*",
            f"{new}.*>m1:CopyAsk*",
            f"{new}.*>m3:CopyAsk*",
            f"m1.*>{new}:CopyPart*",
            f"m3.*>{new}:CopyPart*",
        )
    ),
)
"""Both newcomers copied what m1 accepted, and the later promise that m3 gave to m2."""

GROWN_VOTING = (
    *GROWN,
    "deliver m1.*>n1:Heartbeat(e2*",
    "deliver m3.*>n1:Heartbeat(e2*",
    "deliver n1.*>m1:CopyAsk*",
    "deliver n1.*>m3:CopyAsk*",
    "deliver m1.*>n1:CopyPart*",
    "deliver m3.*>n1:CopyPart*",
)
"""The core grew from three to five, and one of the newcomers votes."""

GROWN_UNHEARD = (
    *_CHOSEN_5,
    "deliver m1.*>m3:RosterNews(e2*",
    "deliver m1.*>m2:RosterNews(e2*",
    "wipe n1",
    "tick n3 500",
    "tick m1 500",
    "deliver n3.*>m1:Heartbeat(*",
    *agreed_round("m1", ("m2", "m3"), "roster", 2),
)
"""The core grew, and one newcomer was wiped; the other heard of neither epoch."""
