"""Our own settings: XML with a schema that the package ships, checked whole before any of it is used."""
