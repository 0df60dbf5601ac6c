"""Stand-ins of external systems and the programs that run on them."""
