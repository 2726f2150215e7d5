"""Stand-ins for the platform, its store, engines and callers; standard library only."""
