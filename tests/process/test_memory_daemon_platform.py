"""The platform of a daemon answers with bytes without end. The daemon lives, holds little, and answers
ordinary requests meanwhile."""
import sys

from deployment import LOAD_FRACTION, binaries_folder_argument
from endless_answers import ENDLESS_ANSWERS, FaultyStore
from memory_site import BYTES_PER_MB, run_on
from test_memory_daemon import DaemonSite, head
from test_memory_endless import ReturningCaller, check_ordinary_calls_beside

# Each makes the daemon call the platform; its listener takes no more connections at a time.
AUDITS = round(32 * LOAD_FRACTION)


class FaultyPlatformSite(DaemonSite):
    """One daemon, whose platform becomes faulty."""

    def __init__(self, binaries, kind):
        super().__init__(binaries)
        self.platform_proxy = FaultyStore(kind, path="/")
        start_platform = self.deployment.start_platform

        def start_platform_behind_proxy():
            start_platform()
            self.platform_proxy.store = self.deployment.platform
            self.deployment.platform = f"127.0.0.1:{self.platform_proxy.port}"
        self.deployment.start_platform = start_platform_behind_proxy

    async def __aenter__(self):
        await self.platform_proxy.start()
        return await super().__aenter__()


async def check_platform_without_end(site):
    site.platform_proxy.begin_fault()
    audits = [ReturningCaller([head("GET", "/v1/audit")], listener="operators")
              for _ in range(AUDITS)]
    await check_ordinary_calls_beside(site, audits)
    check_was_reached(site.platform_proxy.sent_bytes)


def check_was_reached(sent_bytes):
    print(f"sent {sent_bytes / BYTES_PER_MB:.0f} MB", flush=True)
    assert sent_bytes > 0, "no call reached the faulty process"


if __name__ == "__main__":
    binaries = binaries_folder_argument(sys.argv[:2])
    for kind in sys.argv[2:] or ENDLESS_ANSWERS:
        print(kind, end=" ", flush=True)
        run_on(FaultyPlatformSite(binaries, kind), check_platform_without_end)
