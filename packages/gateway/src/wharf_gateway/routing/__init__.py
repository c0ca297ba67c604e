"""Selection of upstreams and retry budgets."""
