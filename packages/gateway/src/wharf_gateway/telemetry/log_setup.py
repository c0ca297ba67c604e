"""Configuration of structlog for a gateway."""

import structlog

from wharf_gateway.telemetry.line_writer import LineWriter

__all__ = ["set_up_logs"]


def set_up_logs(descriptor):
    """Make structlog write JSON lines to the file `descriptor`; return the writer."""
    writer = LineWriter(descriptor)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            _Renderer(),
        ],
        logger_factory=lambda *args: writer,
        wrapper_class=structlog.make_filtering_bound_logger(20),
        cache_logger_on_first_use=True,
    )
    return writer


class _Renderer:
    """Render JSON and pass event and level to the writer, which ranks lines by them."""

    def __init__(self):
        self._to_json = structlog.processors.JSONRenderer(default=str)

    def __call__(self, logger, name, event):
        line = self._to_json(logger, name, event)
        return ((event.get("event"), event.get("level"), line),), {}
