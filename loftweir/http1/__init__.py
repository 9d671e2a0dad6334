"""HTTP/1.1: the frontend for clients, the backend for providers, and the protocol of discovery."""
