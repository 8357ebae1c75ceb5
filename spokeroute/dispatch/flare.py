"""FLARe's two algorithms as pure functions: LAAF ranks successors, ROME shifts load.

A function on a worker is the pair (service, worker): what the paper calls a primary
object. Loads and utilizations are percent of a worker. See docs/flare.md.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Function:
    """A service's calls on one worker, and their load there (l_k)."""

    service: str
    worker: str
    loadPct: float


@dataclass(frozen=True, slots=True)
class Site:
    """A worker that could inherit a service's calls, with the instances that would."""

    worker: str
    instances: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Picture:
    """Everything that a decision looks at; the ledger keeps it whole, for replay."""

    cuPct: tuple[tuple[str, float], ...]
    functions: tuple[Function, ...]
    sites: tuple[tuple[str, tuple[Site, ...]], ...]
    rankBias: tuple[tuple[str, str, float], ...] = ()  # service, worker, a program's points
    vetoes: tuple[tuple[str, str], ...] = ()  # service, worker it may not leave
    wishes: tuple[tuple[str, str], ...] = ()  # service, worker a program wants it off

    def sitesOf(self, service: str, butNot: str) -> tuple[Site, ...]:
        """R_k: the workers with a fit instance of a service, other than one.

        Example:
            Picture((), (), ()).sitesOf("readings", "w1") == ()
        """
        for name, sites in self.sites:
            if name == service:
                return tuple(s for s in sites if s.worker != butNot)
        return ()


@dataclass(frozen=True, slots=True)
class Ranking:
    """The successors of one function, best first."""

    service: str
    worker: str
    workers: tuple[str, ...]
    instances: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Limits:
    """Thresholds in percent."""

    overloadPct: float = 70.0
    migrationPct: float = 120.0


@dataclass(frozen=True, slots=True)
class Shift:
    """A function's routing moves to another worker."""

    service: str
    fromWorker: str
    toWorker: str
    loadPct: float
    cause: str


def laaf(picture: Picture) -> tuple[Ranking, ...]:
    """Rank successors (the paper's Algorithm 1).

    eu is reset to cu once, then accumulates over all workers and functions: a head takes
    the function's load before the next function is ranked. A program's points, where there
    are any, are added to eu for the sorting only; eu accumulates all the same.

    Example:
        >>> p = Picture((("t", 70.0), ("a", 10.0), ("b", 0.0)),
        ...             (Function("x", "t", 40.0), Function("y", "t", 30.0)),
        ...             (("x", (Site("a", ("x1",)), Site("b", ("x2",)))),
        ...              ("y", (Site("a", ("y1",)), Site("b", ("y2",))))))
        >>> [r.workers[0] for r in laaf(p)]
        ['b', 'a']
    """
    eu: dict[str, float] = dict(picture.cuPct)
    bias = {(s, w): key for s, w, key in picture.rankBias}
    out: list[Ranking] = []
    for worker, _ in sorted(picture.cuPct):
        for function in picture.functions:
            if function.worker != worker:
                continue
            service = function.service
            keyed = [
                (eu.get(s.worker, 0.0) + bias.get((service, s.worker), 0.0), s.worker, s)
                for s in picture.sitesOf(service, worker)
            ]
            keyed.sort(key=lambda k: k[:2])
            sites = [k[2] for k in keyed]
            if sites:
                head = sites[0].worker
                eu[head] = eu.get(head, 0.0) + function.loadPct
            out.append(
                Ranking(
                    service,
                    worker,
                    tuple(s.worker for s in sites),
                    tuple(i for s in sites for i in s.instances),
                )
            )
    return tuple(out)


@dataclass(frozen=True, slots=True)
class Relief:
    """What ROME decided: the shifts, and the utilizations expected after them."""

    shifts: tuple[Shift, ...]
    euPct: tuple[tuple[str, float], ...] = field(default=())


def rome(picture: Picture, limits: Limits) -> Relief:
    """Move load off overloaded workers, then even out (the paper's Algorithm 2 and 4.2).

    A function moves only where its load and the target's eu stay under the target's
    threshold. The imbalance rule also asks that the move shrinks the gap.

    Example:
        >>> p = Picture((("t", 90.0), ("a", 0.0)), (Function("x", "t", 40.0),),
        ...             (("x", (Site("a", ("x1",)),)),))
        >>> [s.toWorker for s in rome(p, Limits()).shifts]
        ['a']
    """
    eu: dict[str, float] = dict(picture.cuPct)
    vetoes = set(picture.vetoes)
    moved: set[tuple[str, str]] = set()
    shifts: list[Shift] = []
    overloaded = sorted(
        (w for w, cu in picture.cuPct if cu > limits.overloadPct),
        key=lambda w: (-eu[w], w),
    )
    for worker in overloaded:
        for function in _heaviestFirst(picture, worker):
            if eu[worker] < limits.overloadPct:
                break
            _tryShift(picture, limits, function, eu, moved, vetoes, shifts, "overload")
    wishes = set(picture.wishes)
    for worker, _ in sorted(picture.cuPct, key=lambda c: (-eu[c[0]], c[0])):
        for function in _heaviestFirst(picture, worker):
            key = (function.service, function.worker)
            if key in moved:
                continue
            least = _least(picture, function, eu)
            if least is None or function.loadPct <= 0.0:
                continue
            gap = eu[worker] - eu.get(least, 0.0)
            shrinks = abs(gap - 2 * function.loadPct) < abs(gap)
            over = gap > limits.migrationPct / 100.0 * function.loadPct
            if shrinks and (over or key in wishes):
                cause = "imbalance" if over else "program"
                _tryShift(picture, limits, function, eu, moved, vetoes, shifts, cause)
    return Relief(tuple(shifts), tuple(sorted(eu.items())))


def _heaviestFirst(picture: Picture, worker: str) -> list[Function]:
    here = [f for f in picture.functions if f.worker == worker]
    return sorted(here, key=lambda f: (-f.loadPct, f.service))


def _least(picture: Picture, function: Function, eu: Mapping[str, float]) -> str | None:
    sites = picture.sitesOf(function.service, function.worker)
    if not sites:
        return None
    return min(sites, key=lambda s: (eu.get(s.worker, 0.0), s.worker)).worker


def _tryShift(
    picture: Picture,
    limits: Limits,
    function: Function,
    eu: dict[str, float],
    moved: set[tuple[str, str]],
    vetoes: set[tuple[str, str]],
    shifts: list[Shift],
    cause: str,
) -> None:
    key = (function.service, function.worker)
    target = _least(picture, function, eu)
    if target is None or key in vetoes or function.loadPct <= 0.0:
        return
    if function.loadPct + eu.get(target, 0.0) >= limits.overloadPct:
        return
    eu[target] = eu.get(target, 0.0) + function.loadPct
    eu[function.worker] -= function.loadPct
    moved.add(key)
    shifts.append(Shift(function.service, function.worker, target, function.loadPct, cause))
