"""Operating one router: the instance's state, the management endpoint, and hot restarts."""
