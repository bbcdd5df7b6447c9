"""Half of the machines of a deployment are removed as planned; the directories are asked afterwards."""
import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import deployment  # noqa: E402
from deployment import BOUNDS, ZONES, Site, call, request_headers  # noqa: E402
from replacement import Machines  # noqa: E402

# The number of the first machine of each zone, less one.
FIRST_NUMBER = 10
REMOVED = 9
# A machine that ended so long before must not be named any more.
FORGET_S = BOUNDS["stableMs"] / 1000 + 3
ASK_ROUNDS = 3


class Play:
    def __init__(self, folder, trouble):
        routes = {"/levels/": ("idempotent", "levels", 2000)}
        self.site = Site(folder / "record.txt", routes)
        self.record = self.site.record
        self.trouble = trouble
        self.machines = Machines(self.site, FIRST_NUMBER)
        self.names = self.machines.names
        self.ended_at = self.machines.ended_at
        self.answers = 0
        self.broken = 0
        self.served = 0

    async def ask(self, gateway, zone):
        target = f"/v1/resolve?name=h.example&region={ZONES[zone]}&zone={zone}"
        status, _, body = await call(gateway.ip, gateway.ports["directory"], "GET", target)
        addresses = json.loads(body)["addresses"] if status == 200 else []
        self.answers += status == 200
        now = self.record.at()
        gone = [each for each in addresses
                if each in self.ended_at and now - self.ended_at[each] > FORGET_S]
        self.record(f"directory of {gateway.name} asked from {zone}: {status} "
                    + " ".join(self.names.get(each, each) for each in addresses))
        if gone and len(gone) < len(addresses):
            self.broken += 1
            self.record("DRAIN: it names beside a running machine " + ", ".join(
                f"{self.names[each]}, ended {now - self.ended_at[each]:.1f} s before"
                for each in gone))

    async def run(self):
        await self.site.start()
        self.site.configure()
        for number, zone in enumerate(ZONES):
            await self.site.add_backend(f"i-{number}", "levels", zone, "127.0.0.1", 0.3)
        machines = await self.machines.add_all(6)
        if self.trouble:
            await self.machines.in_turn(self.machines.remove, machines[:REMOVED])
        machines = machines[REMOVED:]
        await asyncio.sleep(FORGET_S + 1)
        for _ in range(ASK_ROUNDS):
            for each in machines:
                for zone in ZONES:
                    await self.ask(each, zone)
            await asyncio.sleep(1)
        for number, each in enumerate(machines):
            status, _, _ = await call(each.ip, each.ports["front"], "GET", f"/levels/{number}",
                                      request_headers(f"l-{number}", 2000, number))
            self.served += status == 200
        return self.judge(machines)

    def judge(self, machines):
        summary = [f"{len(self.names)} machines were started, {len(self.ended_at)} were removed",
                   f"{self.answers} answers of the directories",
                   f"answers that name a machine that ended over {FORGET_S:.0f} s before, beside a "
                   f"running one: {self.broken}",
                   "DRAIN is broken" if self.broken > 3 else "DRAIN held"]
        for line in summary:
            self.record(line)
            print(line)
        if self.answers < 100 or self.served < len(machines):
            raise RuntimeError(f"{self.answers} answers, {self.served} machines serve")
        return 1 if self.broken > 3 else 0


async def play(folder, trouble):
    case = Play(folder, trouble)
    try:
        return await case.run()
    finally:
        case.site.stop()


if __name__ == "__main__":
    deployment.run_case(FOLDER, play)
