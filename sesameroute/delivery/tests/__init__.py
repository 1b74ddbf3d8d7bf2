"""Tests of sesameroute.delivery."""
