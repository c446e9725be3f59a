# Build, test, lint and run; PYTHON names the interpreter of the environment to use.
PYTHON ?= .venv/bin/python

.PHONY: build test lint run demo

build: .venv

.venv: requirements-dev.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch .venv

test:
	$(PYTHON) -m pytest

lint:
	$(PYTHON) -m ruff format --check hopshed yewhook yewlab tests
	$(PYTHON) -m ruff check hopshed yewhook yewlab tests
	$(PYTHON) -m mypy

run:
	$(PYTHON) -m yewhook serve

# A small fleet on free loopback ports, with a drain and an upgrade on the way: 30 s, nothing to set up.
demo:
	$(PYTHON) -m yewhook demo
