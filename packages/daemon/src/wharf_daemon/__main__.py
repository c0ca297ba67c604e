"""Entry point of `python -m wharf_daemon` and of `wharfd`."""

from wharf_daemon.early_signals import handle_early_signals

__all__ = ["run"]


def run():
    """Run the command line."""
    handle_early_signals()
    # Loading these modules takes most of the start, in which signals may come.
    from wharf_daemon.main import main

    main()


if __name__ == "__main__":
    run()
