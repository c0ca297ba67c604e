"""Run the gateway by `python -m wharf_gateway`."""

from wharf_gateway.main import main

main()
