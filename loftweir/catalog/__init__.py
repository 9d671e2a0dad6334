"""Layer 3: the own site's services and the partners' as one catalog. Nothing imports it while it is off."""
