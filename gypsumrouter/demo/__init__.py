"""The demo: the whole product with stand-ins in one process on loopback."""
