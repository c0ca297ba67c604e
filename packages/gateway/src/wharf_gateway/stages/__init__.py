"""Steps that prepare requests, run in batches on their upstreams."""
