"""The nine machines of the site armor-caramel, and the planned work on them: machines are added, stopped
and removed for good, or stopped and started again."""
import asyncio
import signal

from deployment import BOUNDS, ZONES

# Eighteen machines: twice the nine of the site.
ZONE_OF_MACHINE = 2 * ("quimper", "quimper", "vannes", "vannes", "rennes", "rennes",
                       "brest", "lorient", "fougeres")
ADD_GAP_S = 0.3
STOP_GAP_S = 1.0
START_DELAY_S = 0.3
SETTLE_S = 4.0


class Machines:
    """Starts and ends the machines of a site. Names and addresses are never used again."""

    def __init__(self, site, first_number):
        """`first_number`: of the first machine of each zone, less one."""
        self.site = site
        self.record = site.record
        self.last_number = {zone: first_number for zone in ZONES}
        self.names = {}  # By the address for clients.
        self.ended_at = {}  # Address of a removed machine -> when it ended.

    async def add(self, zone, network):
        self.last_number[zone] += 1
        machine = await self.site.add_gateway(
            f"front-{zone}-{self.last_number[zone]}", zone,
            f"127.0.{network}.{len(self.names) + 2}")
        self.names[machine.listen("front")] = machine.name
        return machine

    async def add_all(self, network):
        added = []
        for zone in ZONE_OF_MACHINE:
            added.append(await self.add(zone, network))
            await asyncio.sleep(ADD_GAP_S)
        await self.wait_until_ready(added)
        await asyncio.sleep(SETTLE_S)
        return added

    async def wait_until_ready(self, machines):
        for each in machines:
            for _ in range(100):
                if await each.is_ready():
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{each.name} isn't ready")

    async def stop(self, machine):
        """SIGTERM, and SIGKILL after the grace period."""
        machine.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(machine.process.wait(), BOUNDS["graceS"])
        except asyncio.TimeoutError:
            machine.send_signal(signal.SIGKILL)
            await machine.process.wait()
        self.record(f"end {machine.name}, exit code {machine.process.returncode}")

    async def remove(self, machine):
        await self.stop(machine)
        self.ended_at[machine.listen("front")] = self.record.at()

    async def restart(self, machine):
        await self.stop(machine)
        await asyncio.sleep(START_DELAY_S)
        await machine.start()

    async def in_turn(self, action, machines):
        """Begins the action on one machine after the other, and waits until all are done."""
        tasks = []
        for each in machines:
            tasks.append(asyncio.create_task(action(each)))
            await asyncio.sleep(STOP_GAP_S)
        await asyncio.gather(*tasks)
