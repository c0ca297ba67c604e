"""Following the platform's store."""
