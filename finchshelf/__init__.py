"""finchshelf: an admission gateway for a service sold by plan."""
