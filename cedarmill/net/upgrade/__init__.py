"""What one process of a node leaves to the next, and tells a sibling process, by state files in `$TMPDIR`.

Nothing here interprets the documents: their form is `admin/sealed_document.py`, their content
`decisions/snapshot.py`.
"""
