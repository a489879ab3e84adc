//! What a check found wrong, each with its place, reported together.

use std::fmt;

use serde::Serialize;
use snafu::Snafu;

/// Findings that a report shows; the rest is only counted.
pub const SHOWN_FINDINGS: usize = 50;

/// One fault and the place where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The path to the faulty value, as in `routes[3].timeLimitMs`; empty for the whole document.
    pub place: String,
    /// What is wrong there.
    pub fault: Fault,
}

/// What may be wrong with a configuration or a change of it.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Fault {
    /// The body is no whole JSON document.
    #[snafu(display("cannot be read: {message}"))]
    Unreadable {
        /// What the reader met.
        message: String,
    },
    /// A value has another type than the field needs, or is out of its range.
    #[snafu(display("{message}"))]
    WrongValue {
        /// What was met, and what is needed.
        message: String,
    },
    /// A needed field is missing.
    #[snafu(display("is missing"))]
    Missing,
    /// A label or host is empty.
    #[snafu(display("is empty"))]
    Empty,
    /// Another item of the list has the same label.
    #[snafu(display("the label is also that of {other}"))]
    SameLabel {
        /// The place of the first item with that label.
        other: String,
    },
    /// Another route has the same host and prefix.
    #[snafu(display("host and prefix are also those of {other}"))]
    SamePlace {
        /// The place of the first route there.
        other: String,
    },
    /// A path prefix doesn't start and end with a slash.
    #[snafu(display("does not start and end with '/'"))]
    NoSlash,
    /// No service has the label that a route names.
    #[snafu(display("there is no service '{service}'"))]
    UnknownService {
        /// The label.
        service: String,
    },
    /// A route names a store of KV cache, which takes no requests.
    #[snafu(display("'{service}' is a store of KV cache and takes no requests"))]
    StoreAsTarget {
        /// The store's label.
        service: String,
    },
    /// A route leads nowhere: it has no service, or its weights sum to 0.
    #[snafu(display("the weights sum to 0"))]
    NoWeight,
    /// A weight is negative or not finite.
    #[snafu(display("the weight is not a number from 0 up"))]
    BadWeight,
    /// A time limit is 0.
    #[snafu(display("must be above 0"))]
    NoTime,
    /// Two tenants hold the same key.
    #[snafu(display("tenant '{other}' holds the same key"))]
    SharedKey {
        /// The label of the first tenant with that key.
        other: String,
    },
    /// The revision isn't above the current one.
    #[snafu(display("is not above the current revision, {current}"))]
    NotAbove {
        /// The current revision.
        current: u64,
    },
    /// A change was sent before any configuration.
    #[snafu(display("there is no configuration to change yet"))]
    NothingToChange,
}

/// All faults of a document; never empty where it is returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    list: Vec<Finding>,
}

impl std::error::Error for Findings {}

impl Findings {
    /// A report with one finding.
    pub fn one(place: impl Into<String>, fault: Fault) -> Self {
        let mut findings = Findings::default();
        findings.add(place, fault);
        findings
    }

    /// Adds a finding.
    pub fn add(&mut self, place: impl Into<String>, fault: Fault) {
        self.list.push(Finding { place: place.into(), fault });
    }

    /// The findings in the order in which they were met.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.list.iter()
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// `value` if nothing was found, else the findings.
    pub fn or<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }

    /// The body of a refusal: `{"problem": ..., "count": ..., "findings": [{"place": ..., "message":
    /// ...}]}`. At most [`SHOWN_FINDINGS`] findings are listed.
    pub fn to_json(&self) -> Vec<u8> {
        let findings = self.shown().map(FindingReport::new).collect();
        let report = Report { problem: "the configuration is invalid", count: self.len(), findings };
        serde_json::to_vec(&report).unwrap_or_default()
    }

    fn shown(&self) -> impl Iterator<Item = &Finding> {
        self.iter().take(SHOWN_FINDINGS)
    }
}

/// One finding a line; at most [`SHOWN_FINDINGS`] lines and one that counts the rest.
impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.shown().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{finding}")?;
        }
        match self.len().saturating_sub(SHOWN_FINDINGS) {
            0 => Ok(()),
            hidden => write!(formatter, "\nand {hidden} more"),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.place.is_empty() {
            return write!(formatter, "{}", self.fault);
        }
        write!(formatter, "{}: {}", self.place, self.fault)
    }
}

#[derive(Serialize)]
struct Report<'a> {
    problem: &'static str,
    count: usize,
    findings: Vec<FindingReport<'a>>,
}

#[derive(Serialize)]
struct FindingReport<'a> {
    place: &'a str,
    message: String,
}

impl<'a> FindingReport<'a> {
    fn new(finding: &'a Finding) -> Self {
        FindingReport { place: &finding.place, message: finding.fault.to_string() }
    }
}
