"""The placement role is taken over before the lease expires if the holder's process has ended, but
not if the holder is only silent."""

from __future__ import annotations

import pytest

from spokeroute.common.effects import Tell, Tick
from spokeroute.common.ids import Ms
from spokeroute.dispatch.placement import role
from spokeroute.dispatch.placement.role import RoleHolder
from spokeroute.register.changes import Read
from tests.sim.cluster import Sim
from tests.test_recovery import ME, OTHER, requested_operation, settle_read
from tests.test_scenarios import clean


def test_a_refused_connection_voids_only_the_incarnation_heard_before_it() -> None:
    """A refusal may be processed late, when a later incarnation runs and holds the role."""
    state = role.State(ME, 5, (ME, OTHER))
    state, effects = role.step(state, Tick(), Ms(10))
    state, _ = settle_read(state, requested_operation(effects), RoleHolder(OTHER, 7, 3), 9, 12)
    for life, wanted in ((6, False), (7, True), (6, True)):
        state, _ = role.step(state, role.ProcessEnded(OTHER, life), Ms(20))
        state, effects = role.step(state, Tick(), Ms(30))
        state, effects = role.step(state, Tick(), Ms(400))
        if not wanted:
            assert not any(isinstance(e, Tell) for e in effects), life
            continue
        if state.pending_op_id and not effects:
            continue  # the read is already in progress
        # The role is read from a majority first.
        assert isinstance(requested_operation(effects).change, Read)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_role_of_a_killed_holder_is_taken_at_once(seed: int) -> None:
    """The machine refuses connections, so the others do not wait for the lease of 1.5 s."""
    sim = Sim(seed, exchanges=3)
    sim.settle()
    sim.run(5_000)
    first = next(r for r in sim.registries if r.state("placement").term)
    others = [r for r in sim.registries if r is not first]
    first.kill()
    killed_ms = sim.env.now
    taken = sim.up_to(lambda: any(r.state("placement").term for r in others), 4_000)
    assert taken
    assert sim.env.now - killed_ms <= 900
    sim.run(3_000)
    clean(sim)
    sim.close()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_role_of_a_partitioned_holder_is_not_taken_during_its_lease(seed: int) -> None:
    """No connection is refused, so the holder may still decide until its lease expires."""
    sim = Sim(seed, exchanges=3)
    sim.settle()
    sim.run(5_000)
    first = next(r for r in sim.registries if r.state("placement").term)
    others = [r for r in sim.registries if r is not first]
    lease_ms = first.state("placement").lease_until_ms - first.now_ms()
    for other in sim.nodes:
        sim.net.cuts |= {(first.name, other.name), (other.name, first.name)}
    sim.run(max(0, lease_ms - 50))
    assert not any(r.state("placement").term for r in others)
    sim.net.cuts.clear()
    sim.run(3_000)
    clean(sim)
    sim.close()
