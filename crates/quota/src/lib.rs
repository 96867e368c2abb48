//! Rates leased from one owner to many holders: tenants' quotas and retry budgets. No I/O.
