"""Stand-ins of the platform, its databases and its clients."""
