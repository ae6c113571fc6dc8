"""Stand-ins for the databases, the platform, the operator and clients."""
