"""OpenTelemetry spans for the hops of requests, with W3C trace context.

Spans are exported to the log or to a file; no external collector is needed.
"""

from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path

from loguru import logger
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from hemlockstand.settings import TraceSettings

log = logger.bind(module=__name__)
_propagator = TraceContextTextMapPropagator()
_tracer = trace.get_tracer("hemlockstand")


class LogExporter(SpanExporter):
    """Writes each finished span as a log line."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Log the spans."""
        for span in spans:
            log.bind(span=span.to_json(indent=None)).info("span {}", span.name)
        return SpanExportResult.SUCCESS


class FileExporter(SpanExporter):
    """Appends each finished span to a file as a JSON line."""

    def __init__(self, path: Path) -> None:
        self._stream = path.open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append the spans."""
        for span in spans:
            self._stream.write(span.to_json(indent=None) + "\n")
        self._stream.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._stream.close()


def configure_traces(settings: TraceSettings, daemon: str) -> None:
    """Install the tracer provider of the process, unless export is off."""
    match settings.export:
        case "log":
            exporter: SpanExporter = LogExporter()
        case "file":
            exporter = FileExporter(Path(settings.file))
        case _:
            return
    provider = TracerProvider(
        resource=Resource({"service.name": "hemlockd", "service.instance.id": daemon}),
        sampler=ParentBased(TraceIdRatioBased(settings.sample_fraction)),
    )
    provider.add_span_processor(SimpleSpanProcessor(exporter))
    trace.set_tracer_provider(provider)


@contextmanager
def record_span(
    name: str, carrier: Mapping[str, str] | None = None, **attributes: str | int
) -> Iterator[Span]:
    """Record a span around the body of a ``with`` statement.

    ``carrier`` holds the W3C headers of the previous hop. Without it the span
    is a child of the current one.
    """
    context = _propagator.extract(dict(carrier)) if carrier else None
    with _tracer.start_as_current_span(
        name, context=context, attributes=attributes
    ) as span:
        yield span


def inject_context(headers: dict[str, str]) -> None:
    """Add the W3C trace context of the current span to outgoing headers."""
    _propagator.inject(headers)
