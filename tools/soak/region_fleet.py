"""A fleet in two regions: a delaying relay stands before each process's trunk."""

from __future__ import annotations

from dataclasses import dataclass, field

from tools.fleet import Fleet
from tools.ports import free_ports
from tools.relay import DelayRelay, between_regions

DELAY_S = 0.02  # one way between the regions
REGIONS = {"north": "home", "centre": "home", "south": "away"}


@dataclass
class RegionFleet(Fleet):
    """Its processes are told the region of each zone, listen where only their relay knows, and are
    reached by others through it."""

    hidden: dict[str, str] = field(default_factory=dict)  # trunk -> where it really listens
    relays: dict[str, DelayRelay] = field(default_factory=dict)  # by trunk
    region_of: dict[str, str] = field(default_factory=dict)  # by trunk

    def command_of(self, name: str) -> list[str]:
        """The plain command behind ``tools.launch``, with the regions as settings."""
        command = self.commands[name]
        if "--trunk" not in command:
            return command
        self._stand_before(name)
        settings = self.folder / f"{name}.toml"
        rows = "\n".join(f'{zone} = "{region}"' for zone, region in REGIONS.items())
        settings.write_text(f"[regions]\n{rows}\n")
        at = command.index("spokeroute")
        hidden = self.hidden[self.trunk_of(name)]
        launch = ["tools.launch", "--listen", hidden, "--"]
        return [*command[:at], *launch, *command[at + 1 :], "--settings", str(settings)]

    def _stand_before(self, name: str) -> None:
        """Put a relay before a process's trunk, where none stands yet."""
        trunk = self.trunk_of(name)
        if trunk in self.relays:
            return
        command = self.commands[name]
        region = REGIONS[command[command.index("--zone") + 1]]
        self.region_of[trunk] = region
        self.hidden[trunk] = f"127.0.0.1:{free_ports(1)[0]}"
        delay = between_regions(region, self.region_of, DELAY_S)
        self.relays[trunk] = DelayRelay(trunk, self.hidden[trunk], delay)

    def stop(self) -> dict[str, int]:
        """End every process, then the relays."""
        codes = super().stop()
        for relay in self.relays.values():
            relay.close()
        return codes
