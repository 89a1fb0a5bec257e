use std::{error, fmt, sync::Arc};

use jsonc_parser::common::Range;
use miette::{
    Diagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, SourceCode,
};

/// Maximum number of faults that are stored; any more are only counted. It bounds the memory that
/// the report on a damaged text uses.
const FAULTS_MAX: usize = 200;
/// Maximum size of the source lines printed with a fault. Without it, a document on a single line
/// would be printed once per fault.
const SNIPPET_BYTES_MAX: usize = 4_096;

/// A named text and the byte offsets of its lines.
#[derive(Debug)]
pub(crate) struct Source {
    named: NamedSource<String>,
    line_starts: Vec<usize>,
}

impl Source {
    pub(crate) fn new(name: &str, text: &str) -> Arc<Self> {
        let breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        Arc::new(Self {
            named: NamedSource::new(name, text.to_owned()),
            line_starts: std::iter::once(0).chain(breaks).collect(),
        })
    }

    /// Returns the line number of a byte offset, from 1.
    pub(crate) fn line(&self, at: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= at)
    }

    /// Whether a line and the lines before and after it are short enough to be printed.
    fn is_printable(&self, line: usize) -> bool {
        let first = self.line_starts[line.saturating_sub(2)];
        let end = self.line_starts.get(line + 1).copied();
        end.unwrap_or(self.named.inner().len()) - first <= SNIPPET_BYTES_MAX
    }

    /// Returns the line and the column of a byte offset, both from 1. The column counts characters.
    pub(crate) fn position(&self, at: usize) -> (usize, usize) {
        let line = self.line(at);
        let start = self.line_starts[line - 1];
        let before = self.named.inner().get(start..at).unwrap_or_default();
        (line, before.chars().count() + 1)
    }
}

/// A range of bytes in a source.
#[derive(Clone, Debug)]
pub(crate) struct SourceSpan {
    pub(crate) source: Arc<Source>,
    pub(crate) range: Range,
}

/// One fault of a text, with its position.
#[derive(Clone, Debug)]
pub struct Fault {
    span: SourceSpan,
    line: usize,
    column: usize,
    message: String,
    help: Option<String>,
}

impl Fault {
    /// Returns the position as `file:line:column`.
    #[must_use]
    pub fn place(&self) -> String {
        let name = self.span.source.named.name();
        format!("{name}:{}:{}", self.line, self.column)
    }

    /// Returns the line number, from 1.
    #[must_use]
    pub fn line(&self) -> usize {
        self.line
    }

    /// Returns the column in characters, from 1.
    #[must_use]
    pub fn column(&self) -> usize {
        self.column
    }

    /// Returns the description of the fault, without a full stop.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns a suggestion for the correction, if there is one.
    #[must_use]
    pub fn advice(&self) -> Option<&str> {
        self.help.as_deref()
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl error::Error for Fault {}

impl Diagnostic for Fault {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.help.as_ref().map(|help| Box::new(help) as _)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        let shown = self.span.source.is_printable(self.line);
        shown.then_some(&self.span.source.named as _)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let Range { start, end } = self.span.range;
        // Labels only the first line, because a fault can span a whole section.
        let text = self.span.source.named.inner();
        let length = text
            .get(start..end)
            .and_then(|part| part.lines().next())
            .map_or(0, str::len);
        let label = LabeledSpan::new(Some("here".to_owned()), start, length);
        Some(Box::new(std::iter::once(label)))
    }
}

/// All faults of a text. `Display` writes one line per fault, `file:line:column: message`.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    list: Vec<Fault>,
    omitted: usize,
}

impl Faults {
    /// Iterates over the first 200 faults, in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.list.iter()
    }

    /// Returns the number of faults, including those that [`Faults::iter`] omits.
    #[must_use]
    pub fn count(&self) -> usize {
        self.list.len() + self.omitted
    }

    /// Formats the stored faults with their source lines, without colours.
    #[must_use]
    pub fn render(&self) -> String {
        let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
        let mut text = String::new();
        for fault in &self.list {
            if fault.source_code().is_none() {
                text.push_str(&fault.place());
                text.push('\n');
            }
            if handler.render_report(&mut text, fault).is_err() {
                text.push_str(fault.message());
                text.push('\n');
            }
        }
        text
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.list.len() >= FAULTS_MAX
    }

    pub(crate) fn push(&mut self, span: &SourceSpan, message: String, help: Option<String>) {
        if self.is_full() {
            self.omitted += 1;
            return;
        }
        let (line, column) = span.source.position(span.range.start);
        self.list.push(Fault {
            span: span.clone(),
            line,
            column,
            message,
            help,
        });
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.list.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{}: {fault}", fault.place())?;
        }
        if self.omitted > 0 {
            write!(f, "\nand {} more faults", self.omitted)?;
        }
        Ok(())
    }
}

impl error::Error for Faults {}
