"""Links between gateways."""
