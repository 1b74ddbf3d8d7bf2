"""Tests of sesameroute.membership."""
