"""Discovery of the other gateways and messages between them."""
