"""Randomized soak: real processes, faults from outside, checked histories."""
