"""Tests of sesameroute.adapters."""
