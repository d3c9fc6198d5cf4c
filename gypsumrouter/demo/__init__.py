"""The demo: the whole process with stand-ins in one process on loopback."""
