"""A load balancer for groups of model engines with expert parallelism."""
