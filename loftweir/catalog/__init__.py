"""The catalog: this site's services and those of the partners by name. Loaded only if it is configured."""
