"""Entry point of `python -m wharf_control`."""

from wharf_control.main import main

__all__ = []

if __name__ == "__main__":
    main()
