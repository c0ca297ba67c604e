"""HTTP/1.1 on asyncio protocols; httptools parses."""
