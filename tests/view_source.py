"""A view source for unit tests of components that need a view and a lease."""

import anyio
import msgspec

from siskinsail_catalogue import View
from siskinsail_types import LeaseState


class Views:
    """A view source whose view and lease state a test sets."""

    def __init__(self):
        self.view = View(0, 0)
        self.lease_state = LeaseState.HELD
        self.time_since_lease_s = 0.0
        self._changed = anyio.Event()

    def change(self, **parts):
        version = self.view.version + 1
        self.view = msgspec.structs.replace(
            self.view, version=version, **parts
        )
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self, version):
        while self.view.version == version:
            await self._changed.wait()
