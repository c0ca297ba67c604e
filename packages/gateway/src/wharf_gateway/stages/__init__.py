"""Steps that prepare requests, run in batches on their upstreams.

A step consists of pieces, each of which gives one result. The `Preparer` of a pool
schedules preparations, runs their steps by a `StepRunner` and queues the pieces in
one `Batcher` for each service.
"""
