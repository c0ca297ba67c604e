"""What the gateway knows of routes, services and upstreams."""
