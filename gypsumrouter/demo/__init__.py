"""The demo: routers, sides and stand-in upstreams in one process on the loopback interface."""
