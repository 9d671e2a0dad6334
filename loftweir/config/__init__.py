"""Configuration: the platform's JSON file and the operator's TOML file, which have no key in common."""
