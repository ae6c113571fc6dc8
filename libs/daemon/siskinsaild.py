"""Entry point of the ``siskinsaild`` command."""

import signal

# A signal that comes while the modules load is held back until the daemon
# handles it.
signal.pthread_sigmask(
    signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
)

from siskinsail_daemon import main as main  # noqa: E402
