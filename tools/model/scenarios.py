"""The scenarios that the checker plays, by name."""

from __future__ import annotations

from spokeroute.register.changes import Read, Swap
from tools.model.preludes import (
    FOUNDING,
    GROWN,
    GROWN_CONTENDED,
    GROWN_COPIED,
    GROWN_UNHEARD,
    GROWN_VOTING,
    HANDED,
    JOINING,
    LATE_PROMISES,
    REPLACED,
    SECOND_BLANK,
)
from tools.model.scenario import Once, Scenario, asks

CONFIGURATION = "configuration"
PLACEMENT = "placement"
NUMBER = "number/7"

TWO_SWAPS = asks(
    ("a", 0, CONFIGURATION, Swap(0, b"A")),
    ("b", 1, CONFIGURATION, Swap(0, b"B")),
    ("r", 2, CONFIGURATION, Read()),
)
"""Two members swap the configuration, the third reads it."""

SWAPS_OF_OUTER_MEMBERS = asks(
    ("a", 0, CONFIGURATION, Swap(0, b"A")),
    ("b", 2, CONFIGURATION, Swap(0, b"B")),
    ("r", 2, CONFIGURATION, Read()),
)
"""The first and the third member swap, the third reads."""

FOUNDING_SWAP = asks(
    ("a", 2, CONFIGURATION, Swap(0, b"A")),
    ("r", 1, CONFIGURATION, Read()),
)
"""The third member swaps, the second reads."""

LATE_SWAP = asks(
    ("a", 0, PLACEMENT, Swap(0, b"A")),
    ("r", 0, PLACEMENT, Read()),
    ("x", 1, NUMBER, Once(b"X")),
)
"""The first member swaps the placement and reads it, the second decides a number."""


SCENARIOS = {
    each.name: each
    for each in (
        Scenario(
            "rounds",
            TWO_SWAPS,
            {"round": 2, "repeat": 1},
            syncs=True,
        ),
        Scenario(
            "disks",
            TWO_SWAPS,
            {"round": 2, "restart": 2, "full": 2, "beat": 2},
        ),
        Scenario(
            "lives",
            asks(
                ("a", 0, PLACEMENT, Swap(0, b"A")),
                ("b", 0, PLACEMENT, Swap(0, b"B")),
                ("r", 0, PLACEMENT, Read()),
                ("x", 1, NUMBER, Once(b"X")),
            ),
            {"round": 1, "restart": 1, "repeat": 2},
        ),
        Scenario(
            "lives-late",
            LATE_SWAP,
            {"restart": 1},
            prelude=LATE_PROMISES,
        ),
        Scenario(
            "lives-again",
            LATE_SWAP,
            {"restart": 1},
            prelude=(*LATE_PROMISES, "restart m1"),
        ),
        Scenario(
            "numbers",
            asks(
                ("a", 0, NUMBER, Once(b"A")),
                ("b", 1, NUMBER, Once(b"B")),
                ("c", 2, NUMBER, Once(b"C")),
                ("r", 2, NUMBER, Read()),
            ),
            {"round": 3, "restart": 1, "repeat": 1},
            syncs=True,
        ),
        Scenario(
            "replace",
            asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 1, CONFIGURATION, Read()),
                ("s", 0, CONFIGURATION, Read()),
            ),
            {"round": 3, "wipe": 1, "beat": 10},
            syncs=True,
        ),
        Scenario(
            "grow",
            asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 2, CONFIGURATION, Read()),
                ("s", 0, CONFIGURATION, Read()),
            ),
            {"round": 4, "join": 2, "beat": 16},
            core=5,
            syncs=True,
        ),
        Scenario(
            "replaced",
            TWO_SWAPS,
            {"round": 1, "beat": 4},
            syncs=True,
            prelude=REPLACED,
        ),
        Scenario(
            "joining",
            TWO_SWAPS,
            {"round": 1, "beat": 4},
            syncs=True,
            prelude=JOINING,
        ),
        Scenario(
            "second-blank",
            asks(("r", 1, CONFIGURATION, Read())),
            {"round": 1, "beat": 3},
            members=5,
            core=5,
            syncs=True,
            prelude=SECOND_BLANK,
        ),
        Scenario(
            "grown",
            SWAPS_OF_OUTER_MEMBERS,
            {"round": 1, "wipe": 1, "beat": 8},
            core=5,
            syncs=True,
            prelude=GROWN,
        ),
        Scenario(
            "grown-contended",
            TWO_SWAPS,
            {"round": 2, "beat": 6},
            core=5,
            syncs=True,
            prelude=GROWN_CONTENDED,
        ),
        Scenario(
            "grown-copied",
            TWO_SWAPS,
            {"round": 2},
            core=5,
            syncs=True,
            prelude=GROWN_COPIED,
        ),
        Scenario(
            "grown-voting",
            SWAPS_OF_OUTER_MEMBERS,
            {"round": 1, "beat": 6},
            core=5,
            syncs=True,
            prelude=GROWN_VOTING,
        ),
        Scenario(
            "grown-unheard",
            asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 1, "wipe": 1, "beat": 8},
            core=5,
            syncs=True,
            prelude=GROWN_UNHEARD,
        ),
        Scenario(
            "handed",
            SWAPS_OF_OUTER_MEMBERS,
            {"round": 2, "repeat": 1, "beat": 3},
            syncs=True,
            prelude=HANDED,
        ),
        Scenario(
            "overtaken",
            asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(1, b"B")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 2, "repeat": 1},
            syncs=True,
        ),
        Scenario(
            "disks-wiped",
            asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 1, CONFIGURATION, Read()),
            ),
            {"round": 2, "wipe": 1, "beat": 6},
            syncs=True,
        ),
        Scenario(
            "leaving",
            TWO_SWAPS,
            {"round": 3, "leave": 1, "beat": 14},
            syncs=True,
        ),
        Scenario(
            "succession",
            TWO_SWAPS,
            {"round": 3, "leave": 2, "join": 1, "beat": 14, "restart": 1},
            syncs=True,
        ),
        Scenario("found", asks(), {"wipe": 1, "beat": 8}, blank=True, syncs=True),
        Scenario(
            "founding",
            FOUNDING_SWAP,
            {"wipe": 1, "beat": 6},
            blank=True,
            syncs=True,
            prelude=FOUNDING,
        ),
        Scenario(
            "founding-low",
            FOUNDING_SWAP,
            {"wipe": 1, "beat": 6, "low": 1},
            blank=True,
            syncs=True,
            prelude=FOUNDING,
        ),
        Scenario(
            "everything",
            asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("c", 0, CONFIGURATION, Swap(1, b"C")),
                ("p", 0, PLACEMENT, Swap(0, b"m1")),
                ("q", 1, PLACEMENT, Swap(0, b"m2")),
                ("r", 2, CONFIGURATION, Read()),
                ("s", 1, CONFIGURATION, Read()),
            ),
            {
                "round": 8,
                "beat": 30,
                "silence": 2,
                "wipe": 2,
                "leave": 1,
                "join": 2,
                "restart": 4,
                "repeat": 4,
                "full": 1,
            },
        ),
    )
}
