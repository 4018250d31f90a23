"""The admin API on sockets: its listener, and the handlers that carry out its calls.

The routes and what each call may ask are a table without I/O in `admin/routes.py`.
"""
