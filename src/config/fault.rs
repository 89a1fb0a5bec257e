use std::{error, fmt, sync::Arc};

use jsonc_parser::common::Range;
use miette::{
    Diagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, SourceCode,
};

/// Most faults that are kept. It bounds the memory of a report on a damaged text; the rest is
/// counted.
const FAULTS_MAX: usize = 200;
/// Most bytes of source lines that are shown with a fault. A document in one line would otherwise
/// be printed once per fault.
const SHOWN_MAX: usize = 4_096;

/// A text with a name, and the places where its lines begin.
#[derive(Debug)]
pub(crate) struct Source {
    named: NamedSource<String>,
    starts: Vec<usize>,
}

impl Source {
    pub(crate) fn new(name: &str, text: &str) -> Arc<Self> {
        let breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        Arc::new(Self {
            named: NamedSource::new(name, text.to_owned()),
            starts: std::iter::once(0).chain(breaks).collect(),
        })
    }

    /// Line of a position, from 1.
    pub(crate) fn line(&self, at: usize) -> usize {
        self.starts.partition_point(|start| *start <= at)
    }

    /// Whether a line and its neighbours are short enough to be shown.
    fn is_narrow(&self, line: usize) -> bool {
        let first = self.starts[line.saturating_sub(2)];
        let end = self.starts.get(line + 1).copied();
        end.unwrap_or(self.named.inner().len()) - first <= SHOWN_MAX
    }

    /// Line and column of a position, both from 1. The column counts characters.
    pub(crate) fn position(&self, at: usize) -> (usize, usize) {
        let line = self.line(at);
        let start = self.starts[line - 1];
        let before = self.named.inner().get(start..at).unwrap_or_default();
        (line, before.chars().count() + 1)
    }
}

/// A part of a source.
#[derive(Clone, Debug)]
pub(crate) struct Spot {
    pub(crate) source: Arc<Source>,
    pub(crate) range: Range,
}

/// One fault of a text, with its place.
#[derive(Clone, Debug)]
pub struct Fault {
    spot: Spot,
    line: usize,
    column: usize,
    message: String,
    help: Option<String>,
}

impl Fault {
    /// The place as `file:line:column`.
    #[must_use]
    pub fn place(&self) -> String {
        let name = self.spot.source.named.name();
        format!("{name}:{}:{}", self.line, self.column)
    }

    /// Line, from 1.
    #[must_use]
    pub fn line(&self) -> usize {
        self.line
    }

    /// Column in characters, from 1.
    #[must_use]
    pub fn column(&self) -> usize {
        self.column
    }

    /// What is wrong, in one sentence without a full stop.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }

    /// What to do about it.
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
        let shown = self.spot.source.is_narrow(self.line);
        shown.then_some(&self.spot.source.named as _)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let Range { start, end } = self.spot.range;
        // The first line is enough to find the place; a whole section would fill the screen.
        let text = self.spot.source.named.inner();
        let length = text
            .get(start..end)
            .and_then(|part| part.lines().next())
            .map_or(0, str::len);
        let label = LabeledSpan::new(Some("here".to_owned()), start, length);
        Some(Box::new(std::iter::once(label)))
    }
}

/// All faults of a text. `Display` gives one line per fault, `file:line:column: message`.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    list: Vec<Fault>,
    omitted: usize,
}

impl Faults {
    /// The faults in the order in which they were found, at most 200.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.list.iter()
    }

    /// Number of faults, including those that are only counted.
    #[must_use]
    pub fn count(&self) -> usize {
        self.list.len() + self.omitted
    }

    /// Renders each fault with its source lines, without colour.
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

    pub(crate) fn push(&mut self, spot: &Spot, message: String, help: Option<String>) {
        if self.is_full() {
            self.omitted += 1;
            return;
        }
        let (line, column) = spot.source.position(spot.range.start);
        self.list.push(Fault {
            spot: spot.clone(),
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
