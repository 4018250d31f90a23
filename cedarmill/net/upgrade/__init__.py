"""State files in `$TMPDIR`: warm state for the node's next process, and attempts in flight for siblings.

This package only stores and transports the documents. `admin/sealed_document.py` defines their format,
`decisions/snapshot.py` their content.
"""
