"""Configuration files in XML, validated against the bundled schemas before any setting is applied."""
