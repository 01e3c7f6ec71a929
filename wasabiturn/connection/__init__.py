"""What lives for a connection: frames, links, adapters."""
