"""The clients' side: the listening socket, client connections (HTTP/1.1), and their final answers.

Nothing here chooses an executor, retries or refuses by itself: `decisions/` does, through `core/dispatch.py`.
"""
