"""Client of the platform's store."""
