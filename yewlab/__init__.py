"""The laboratory: virtual time, simulated servers and clients, rule checkers and experiments. `yewhook serve`
never imports it."""
