"""States that gateway daemons advertise to their peers."""
