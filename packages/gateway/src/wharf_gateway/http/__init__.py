"""HTTP/1.1 server and client connections on asyncio protocols and httptools."""
