"""Benchmarks: real router processes in front of stand-in upstreams, on loopback only."""
