"""Loads the plugin that reads `KNOWN-RED.txt`."""

pytest_plugins = ["tests.support.known_failures"]
