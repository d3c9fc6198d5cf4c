"""Benches of the product: real processes before stand-ins, on loopback only."""
