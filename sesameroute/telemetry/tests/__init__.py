"""Tests of sesameroute.telemetry."""
