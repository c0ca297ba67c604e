"""Stand-ins for tests, the demo and the bench; the daemons never import them."""
