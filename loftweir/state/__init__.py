"""What a sidecar keeps on disk to come back with: the last list it held, as a snapshot with an epoch and a checksum."""
