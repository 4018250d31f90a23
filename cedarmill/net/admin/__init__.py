"""The admin API's listener, and the handlers that carry out its requests.

The routes are defined without I/O in `admin/routes.py`.
"""
