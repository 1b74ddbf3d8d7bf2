"""Global traffic steering for institutions with few VMs."""

__all__ = ['__version__']

__version__ = '0.1.0'
