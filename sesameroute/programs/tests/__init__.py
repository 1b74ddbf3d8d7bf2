"""Tests of sesameroute.programs."""
