"""Run the gateway by `python -m wharf_gateway`."""

from wharf_gateway.process_signals import ProcessSignals

__all__ = []


def _run():
    signals = ProcessSignals()
    # Loading these modules takes most of the start, in which signals may come.
    from wharf_gateway.main import main

    main(signals)


if __name__ == "__main__":
    _run()
