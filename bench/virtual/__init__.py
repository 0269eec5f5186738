"""Virtual time: several routers that each see a part of it, and late."""
