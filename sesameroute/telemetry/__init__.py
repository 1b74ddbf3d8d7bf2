"""Metrics, spans and logs."""
