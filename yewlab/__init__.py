"""The laboratory: virtual time, stand-in fleets and clients, checkers of the rules. `yewhook serve` never
imports it."""
