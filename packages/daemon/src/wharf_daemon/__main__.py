"""Entry point of `python -m wharf_daemon`."""

from wharf_daemon.main import main

__all__ = []

if __name__ == "__main__":
    main()
