"""Real processes whose surroundings fail: log, disk, ports, memory, settings, long freezes."""
