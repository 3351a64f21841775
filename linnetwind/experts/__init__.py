"""Expert maps: demand, planning and rollout to rank groups."""
