"""The wharfctl tool with which operators drive the system."""
