"""Control loops that reconcile the observed state with the desired state."""
