//! Test cases as data: the request of a client, the behaviour of the replicas, and the expected response.
//!
//! A case file consists of lines. `#` begins a comment line, and an indented line belongs to the case above it:
//!
//! ```text
//! case a-tool-call
//!   ask user "Which gate?"
//!   ask tool find {"type": "object"}
//!   serve call 0 c1 find
//!   serve args 0 "{\"gate\": \"A1\"}"
//!   serve end tools
//!   see call find {"gate": "A1"}
//!   see stop tools
//!   outcome served
//!   attempts 1
//! ```
//!
//! Arguments are plain words, JSON strings, or a JSON value that extends to the end of the line. `then` begins the script
//! of the next attempt; the last script applies to all further attempts. `see@messages` applies to that front only.
//! `sent@platform /tool_choice "required"` states the value that the body has at a JSON pointer when it reaches replicas of
//! that dialect; `null` means that there is no such value.

use snafu::{OptionExt, ResultExt, Snafu, ensure};
use winnow::Parser;
use winnow::ascii::{space0, space1};
use winnow::combinator::{alt, eof, opt, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{rest, take_till, take_while};

use crate::names::Dialect;

/// A test case.
#[derive(Clone, Debug, Default)]
pub struct Case {
    /// The unique name, one word.
    pub name: String,
    /// The file and line of its first line.
    pub position: CasePosition,
    /// The dialects of the fronts that it applies to; all if empty.
    pub fronts: Vec<Dialect>,
    /// The dialects of the replicas that it applies to; all if empty.
    pub replicas: Vec<Dialect>,
    /// The replicas behind the gateway.
    pub fleet: Fleet,
    /// The parts of the request.
    pub request_directives: Vec<Directive>,
    /// The script of the replica for each attempt; the last one applies to all further attempts.
    pub serve: Vec<Vec<Directive>>,
    /// The expected response, for all fronts or one dialect.
    pub see: Vec<Expectation>,
    /// The expected body at the replicas, for all or one dialect: a JSON pointer and the value there.
    pub sent: Vec<Expectation>,
    /// The expected outcome of the request.
    pub outcome: Outcome,
    /// The expected number of attempts that reach a replica; `None` if any number is allowed.
    pub attempts: Option<usize>,
}

/// The position of a line in a case file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CasePosition {
    /// The name of the file.
    pub file: String,
    /// The number of the line; the first line is 1.
    pub line: usize,
}

/// An observation that a case requires.
#[derive(Clone, Debug)]
pub struct Expectation {
    /// The dialect for which it is required; both if `None`.
    pub dialect: Option<Dialect>,
    /// The kind of observation, and its value.
    pub directive: Directive,
}

/// The reason why a case file can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}:{}: {source}", position.file, position.line))]
pub struct CaseError {
    /// The invalid line.
    pub position: CasePosition,
    /// The reason why it is invalid.
    pub source: LineError,
}

/// The reason why a line is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum LineError {
    /// No line can be read from the text.
    #[snafu(display("no line"))]
    NoLine,
    /// The line does not begin with a keyword.
    #[snafu(display("no keyword"))]
    NoKeyword,
    /// A character other than a blank follows the keyword.
    #[snafu(display("a blank is missing after the keyword"))]
    NoBlank,
    /// The arguments are not words, strings or JSON values.
    #[snafu(display("not words, strings or a JSON value"))]
    UnknownForm,
    /// An argument is not valid JSON.
    #[snafu(display("not a JSON value"))]
    NotJson,
    /// The name of a case is missing or not a single word.
    #[snafu(display("the name of a case must be a single word"))]
    InvalidName,
    /// A keyword other than `case` is not indented.
    #[snafu(display("only 'case' may begin at the start of a line"))]
    NotIndented,
    /// Another case of the file has the name.
    #[snafu(display("this name is already in use"))]
    NameInUse,
    /// A case of another file has the name.
    #[snafu(display("{name} is also defined in {file}"))]
    NameInOtherFile {
        /// The duplicate name.
        name: String,
        /// The file that defines the other case.
        file: String,
    },
    /// An indented line precedes the first case.
    #[snafu(display("no case precedes this line"))]
    NoCase,
    /// A word is not one of those that are allowed at its position.
    #[snafu(display("unknown {kind} '{word}'"))]
    UnknownWord {
        /// The unknown word.
        word: String,
        /// The kind of word that is expected.
        kind: &'static str,
    },
    /// The second keyword of the line is missing.
    #[snafu(display("a second keyword is missing"))]
    NoDirective,
    /// The case has no script to which the line could belong.
    #[snafu(display("no attempt to serve"))]
    NothingToServe,
    /// The arguments are not a JSON pointer and a single value.
    #[snafu(display("a JSON pointer and one value are required"))]
    NoPointer,
    /// The argument is not a number.
    #[snafu(display("not a number"))]
    NotANumber,
}

/// The replicas behind the gateway of a case.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fleet {
    /// Three replicas, shared with other cases.
    #[default]
    Shared,
    /// Three replicas for this case only.
    Own,
    /// One replica for this case only.
    One,
    /// Two replicas for this case only, of which one refuses connections.
    Dead,
    /// Three replicas for this case only, of which one has just started and is in slow start.
    Cold,
}

/// The outcome of a request, as the client observes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// The response is complete.
    #[default]
    Served,
    /// The response ends before it is complete.
    Broken,
    /// The request is shed; a retry is safe.
    Shed,
    /// The request fails.
    Failed,
    /// The request is refused as invalid.
    Refused,
}

/// A keyword and its arguments.
#[derive(Clone, Debug, PartialEq)]
pub struct Directive {
    /// The keyword that determines the meaning of the arguments.
    pub keyword: String,
    /// The arguments in their order.
    pub arguments: Vec<Argument>,
}

/// An argument of a directive.
#[derive(Clone, Debug, PartialEq)]
pub enum Argument {
    /// A word without quotes.
    Plain(String),
    /// A JSON string, with its quotes and escapes.
    Text(String),
    /// A JSON value other than a string.
    Json(String),
}

impl Argument {
    /// The text of the argument: that of the JSON string, or else the characters as written.
    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Argument::Text(json) => serde_json::from_str(json).unwrap_or_else(|_| json.clone()),
            Argument::Plain(text) | Argument::Json(text) => text.clone(),
        }
    }

    /// The argument as JSON. A word that is not a number, `true`, `false` or `null` becomes a string.
    #[must_use]
    pub fn json(&self) -> String {
        match self {
            Argument::Text(json) | Argument::Json(json) => json.clone(),
            Argument::Plain(text) if matches!(text.as_str(), "true" | "false" | "null") => text.clone(),
            Argument::Plain(text) if text.parse::<f64>().is_ok() => text.clone(),
            Argument::Plain(text) => serde_json::Value::from(text.as_str()).to_string(),
        }
    }
}

impl Directive {
    /// The text of the nth argument; empty if there is none.
    pub fn at(&self, n: usize) -> String {
        self.arguments.get(n).map(Argument::text).unwrap_or_default()
    }

    /// The JSON of the nth argument; `null` if there is none.
    pub fn json(&self, n: usize) -> String {
        self.arguments.get(n).map_or_else(|| "null".into(), Argument::json)
    }

    /// The nth argument as a number; 0 if there is none or it is not a number.
    #[must_use]
    pub fn number(&self, n: usize) -> u64 {
        self.at(n).parse().unwrap_or(0)
    }
}

type SyntaxError = ErrMode<ContextError>;

fn plain_word<'s>(input: &mut &'s str) -> Result<&'s str, SyntaxError> {
    take_while(1.., |c: char| !c.is_whitespace() && !matches!(c, '"' | '{' | '[')).parse_next(input)
}

fn json_string<'s>(input: &mut &'s str) -> Result<&'s str, SyntaxError> {
    let content = repeat::<_, _, (), _, _>(
        0..,
        alt((('\\', winnow::token::any).take(), take_while(1.., |c: char| c != '"' && c != '\\'))),
    );
    ('"', content, '"').take().parse_next(input)
}

fn argument(input: &mut &str) -> Result<Argument, SyntaxError> {
    alt((
        json_string.map(|text: &str| Argument::Text(text.to_owned())),
        plain_word.map(|text: &str| Argument::Plain(text.to_owned())),
        rest.verify(|text: &str| !text.is_empty()).map(|json: &str| Argument::Json(json.trim().to_owned())),
    ))
    .parse_next(input)
}

fn arguments(input: &mut &str) -> Result<Vec<Argument>, SyntaxError> {
    terminated(repeat(0.., preceded(space0, argument)), (space0, eof)).parse_next(input)
}

/// The indentation of a line and the characters after it.
fn indented_line<'s>(input: &mut &'s str) -> Result<(&'s str, &'s str), SyntaxError> {
    (space0, terminated(take_till(0.., '\n'), opt('\n'))).parse_next(input)
}

/// Parses a case file.
///
/// # Errors
///
/// The first line that is not valid.
pub fn parse(file: &str, text: &str) -> Result<Vec<Case>, CaseError> {
    let mut cases: Vec<Case> = Vec::new();
    let mut input = text;
    let mut number = 0;
    while !input.is_empty() {
        number += 1;
        let position = CasePosition { file: file.to_owned(), line: number };
        parse_line(&mut input, &position, &mut cases).context(CaseSnafu { position })?;
    }
    Ok(cases)
}

/// Parses a line, which begins a case or belongs to the last one.
fn parse_line(input: &mut &str, position: &CasePosition, cases: &mut Vec<Case>) -> Result<(), LineError> {
    let (indent, line) = indented_line(input).ok().context(NoLineSnafu)?;
    let line = line.trim_end();
    if line.is_empty() || line.starts_with('#') {
        return Ok(());
    }
    let mut rest = line;
    let keyword = plain_word(&mut rest).ok().context(NoKeywordSnafu)?;
    if !rest.is_empty() && space1::<_, SyntaxError>(&mut rest).is_err() {
        return NoBlankSnafu.fail();
    }
    let arguments = arguments(&mut rest).ok().context(UnknownFormSnafu)?;
    ensure!(arguments.iter().all(is_valid), NotJsonSnafu);
    if !indent.is_empty() {
        return apply_line(cases.last_mut().context(NoCaseSnafu)?, keyword, arguments);
    }
    let [Argument::Plain(name)] = &arguments[..] else { return InvalidNameSnafu.fail() };
    ensure!(keyword == "case", NotIndentedSnafu);
    ensure!(!cases.iter().any(|case| case.name == *name), NameInUseSnafu);
    let (name, position) = (name.clone(), position.clone());
    cases.push(Case { name, position, serve: vec![Vec::new()], ..Case::default() });
    Ok(())
}

/// Whether a JSON string or value is valid JSON.
fn is_valid(argument: &Argument) -> bool {
    match argument {
        // A string may contain lone surrogates, which a `String` can't represent.
        Argument::Text(json) => {
            serde_json::from_str::<crate::front::translate::text_fragment::TextFragment>(json).is_ok()
        }
        Argument::Json(json) => serde_json::from_str::<serde_json::Value>(json).is_ok(),
        Argument::Plain(_) => true,
    }
}

fn parse_dialect(word: &str) -> Result<Dialect, LineError> {
    match word {
        "messages" => Ok(Dialect::Messages),
        "platform" => Ok(Dialect::Platform),
        word => UnknownWordSnafu { word, kind: "dialect" }.fail(),
    }
}

fn parse_fleet(word: &str) -> Result<Fleet, LineError> {
    match word {
        "own" => Ok(Fleet::Own),
        "one" => Ok(Fleet::One),
        "dead" => Ok(Fleet::Dead),
        "cold" => Ok(Fleet::Cold),
        word => UnknownWordSnafu { word, kind: "fleet" }.fail(),
    }
}

fn parse_outcome(word: &str) -> Result<Outcome, LineError> {
    match word {
        "served" => Ok(Outcome::Served),
        "broken" => Ok(Outcome::Broken),
        "turned-down" => Ok(Outcome::Shed),
        "failed" => Ok(Outcome::Failed),
        "refused" => Ok(Outcome::Refused),
        word => UnknownWordSnafu { word, kind: "outcome" }.fail(),
    }
}

fn parse_directive(arguments: Vec<Argument>) -> Result<Directive, LineError> {
    let mut arguments = arguments.into_iter();
    match arguments.next() {
        Some(Argument::Plain(keyword)) => Ok(Directive { keyword, arguments: arguments.collect() }),
        _ => NoDirectiveSnafu.fail(),
    }
}

/// Adds an indented line to a case.
fn apply_line(case: &mut Case, keyword: &str, rest: Vec<Argument>) -> Result<(), LineError> {
    let (keyword, dialect) = match keyword.split_once('@') {
        Some((keyword, suffix)) => (keyword, Some(parse_dialect(suffix)?)),
        None => (keyword, None),
    };
    let first = rest.first().map(Argument::text).unwrap_or_default();
    match keyword {
        "fronts" => case.fronts.push(parse_dialect(&first)?),
        "servers" => case.replicas.push(parse_dialect(&first)?),
        "fleet" => case.fleet = parse_fleet(&first)?,
        "ask" => case.request_directives.push(parse_directive(rest)?),
        "then" => case.serve.push(Vec::new()),
        "serve" => case.serve.last_mut().context(NothingToServeSnafu)?.push(parse_directive(rest)?),
        "see" => case.see.push(Expectation { dialect, directive: parse_directive(rest)? }),
        "sent" => {
            let directive = parse_directive(rest)?;
            ensure!(directive.keyword.starts_with('/') && directive.arguments.len() == 1, NoPointerSnafu);
            case.sent.push(Expectation { dialect, directive });
        }
        "attempts" => case.attempts = Some(first.parse().ok().context(NotANumberSnafu)?),
        "outcome" => case.outcome = parse_outcome(&first)?,
        word => return UnknownWordSnafu { word, kind: "keyword" }.fail(),
    }
    Ok(())
}
