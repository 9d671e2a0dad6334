"""What the operators' staff say to a running sidecar: their calls, what holds of them, and where it is kept."""
