"""Small stand-ins for the platform, engines and plain services."""
