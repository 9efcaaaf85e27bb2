"""Long measurements, each with its command in its first lines; out of CI."""
