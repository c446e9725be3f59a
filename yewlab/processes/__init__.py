"""The laboratory on real processes: real routers, with stand-ins for everything that they talk to.

One process drives an experiment: `instances.py` starts the routers' processes and ends them by process id;
`discovery.py`, `workers.py` and `clients.py` are stand-ins for the platform on sockets; `links.py` has the
relays between any two parties, which can cut, hang, delay or reset connections; `testbed.py` puts all of this
together; `operate.py` draws a script from a seed and counts the outcomes. Everything runs on the program's
event loop, on loopback, with a time limit. `yewlab.rules` checks the traffic of all processes together.
"""
