//! Cases as data: what a client asks, what the replica does, and what the client must see.
//!
//! A case file is made of lines; `#` begins a comment, an indented line goes on with the case above it:
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
//! Words stand for themselves, texts are JSON strings, and a JSON value runs to the end of its line. `then` begins
//! what the next attempt meets; the last one repeats. `see@messages` holds on that front alone; `sent@platform
//! /tool_choice "required"` says what of the body reaches replicas of that dialect, by a JSON pointer, `null` being
//! nothing.

use snafu::{OptionExt, ResultExt, Snafu, ensure};
use winnow::Parser;
use winnow::ascii::{space0, space1};
use winnow::combinator::{alt, eof, opt, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{rest, take_till, take_while};

use crate::names::Dialect;

/// One case.
#[derive(Clone, Debug, Default)]
pub struct Case {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub position: CasePosition,
    /// The fronts that it is for; none: all.
    pub fronts: Vec<Dialect>,
    /// The replicas' dialects that it is for; none: all.
    pub replicas: Vec<Dialect>,
    /// The replicas that are there.
    pub fleet: Fleet,
    /// What the client asks.
    pub request_directives: Vec<Directive>,
    /// What each attempt meets.
    pub serve: Vec<Vec<Directive>>,
    /// What the client must see, and on which front that holds.
    pub see: Vec<Expectation>,
    /// What of its body reaches the replicas of which dialect: a JSON pointer and the value there.
    pub sent: Vec<Expectation>,
    /// What becomes of the request.
    pub outcome: Outcome,
    /// How many attempts reach a replica.
    pub attempts: Option<usize>,
}

/// A line of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CasePosition {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
}

/// Something that has to be observed.
#[derive(Clone, Debug)]
pub struct Expectation {
    /// The dialect for which it holds; none: each.
    pub dialect: Option<Dialect>,
    /// What it is.
    pub directive: Directive,
}

/// Why a file of cases can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}:{}: {source}", position.file, position.line))]
pub struct CaseError {
    /// The line.
    pub position: CasePosition,
    /// What is wrong with it.
    pub source: LineError,
}

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum LineError {
    /// It can't be taken from the text.
    #[snafu(display("no line"))]
    NoLine,
    /// It does not begin with a keyword.
    #[snafu(display("no keyword"))]
    NoKeyword,
    /// Something other than a blank follows the keyword.
    #[snafu(display("a blank is missing after the keyword"))]
    NoBlank,
    /// What follows is of no known form.
    #[snafu(display("not words, texts or a JSON value"))]
    UnknownForm,
    /// A value is not JSON.
    #[snafu(display("not a JSON value"))]
    NotJson,
    /// The name of a case is not one word.
    #[snafu(display("a case's name is one word"))]
    InvalidName,
    /// Another keyword than `case` is not indented.
    #[snafu(display("only 'case' begins at a line's start"))]
    NotIndented,
    /// Another case of the file has the name.
    #[snafu(display("this name was given before"))]
    NameInUse,
    /// A case of another file has the name.
    #[snafu(display("{name} stands in {file} too"))]
    NameInOtherFile {
        /// The name.
        name: String,
        /// The other file.
        file: String,
    },
    /// It belongs to no case.
    #[snafu(display("no case to go on with"))]
    NoCase,
    /// A word is not one of those that are allowed there.
    #[snafu(display("'{word}' is no {kind}"))]
    UnknownWord {
        /// The word.
        word: String,
        /// What it should be.
        kind: &'static str,
    },
    /// A keyword is missing after the first one.
    #[snafu(display("a keyword has to follow"))]
    NoDirective,
    /// It serves an attempt that was not begun.
    #[snafu(display("nothing to serve"))]
    NothingToServe,
    /// A JSON pointer and a value are missing.
    #[snafu(display("a JSON pointer and one value have to follow"))]
    NoPointer,
    /// A number is missing.
    #[snafu(display("not a number"))]
    NotANumber,
}

/// The replicas of a case.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fleet {
    /// Three, shared with other cases.
    #[default]
    Shared,
    /// Three of its own.
    Own,
    /// One of its own.
    One,
    /// Two of its own, of which one takes no connection.
    Dead,
    /// Three of its own, of which one has just started and would fall over.
    Cold,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// It is served whole.
    #[default]
    Served,
    /// Its stream ends before it is whole.
    Broken,
    /// It is shed; a new try does no harm.
    Shed,
    /// It fails.
    Failed,
    /// It is held for wrong.
    Refused,
}

/// A keyword and what follows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Directive {
    /// The keyword.
    pub keyword: String,
    /// The rest.
    pub arguments: Vec<Argument>,
}

/// A part of a line.
#[derive(Clone, Debug, PartialEq)]
pub enum Argument {
    /// A plain word.
    Plain(String),
    /// A text, as the JSON string that it is written as.
    Text(String),
    /// A JSON value that is no text.
    Json(String),
}

impl Argument {
    /// Its characters, in whichever form it was written.
    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Argument::Text(json) => serde_json::from_str(json).unwrap_or_else(|_| json.clone()),
            Argument::Plain(text) | Argument::Json(text) => text.clone(),
        }
    }

    /// The JSON that stands for it.
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
    /// The text of its nth part; empty if there is none.
    pub fn at(&self, n: usize) -> String {
        self.arguments.get(n).map(Argument::text).unwrap_or_default()
    }

    /// The JSON of its nth part.
    pub fn json(&self, n: usize) -> String {
        self.arguments.get(n).map_or_else(|| "null".into(), Argument::json)
    }

    /// The number of its nth part; 0 if it is none.
    #[must_use]
    pub fn number(&self, n: usize) -> u64 {
        self.at(n).parse().unwrap_or(0)
    }
}

type Fault = ErrMode<ContextError>;

fn plain<'s>(input: &mut &'s str) -> Result<&'s str, Fault> {
    take_while(1.., |c: char| !c.is_whitespace() && !matches!(c, '"' | '{' | '[')).parse_next(input)
}

fn quoted<'s>(input: &mut &'s str) -> Result<&'s str, Fault> {
    let inside = repeat::<_, _, (), _, _>(
        0..,
        alt((('\\', winnow::token::any).take(), take_while(1.., |c: char| c != '"' && c != '\\'))),
    );
    ('"', inside, '"').take().parse_next(input)
}

fn argument(input: &mut &str) -> Result<Argument, Fault> {
    alt((
        quoted.map(|text: &str| Argument::Text(text.to_owned())),
        plain.map(|text: &str| Argument::Plain(text.to_owned())),
        rest.verify(|text: &str| !text.is_empty()).map(|json: &str| Argument::Json(json.trim().to_owned())),
    ))
    .parse_next(input)
}

fn arguments(input: &mut &str) -> Result<Vec<Argument>, Fault> {
    terminated(repeat(0.., preceded(space0, argument)), (space0, eof)).parse_next(input)
}

/// A line's indentation and its characters.
fn line<'s>(input: &mut &'s str) -> Result<(&'s str, &'s str), Fault> {
    (space0, terminated(take_till(0.., '\n'), opt('\n'))).parse_next(input)
}

/// Reads a file.
///
/// # Errors
///
/// The first line that is no part of a case.
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

/// Reads a line, which begins a case or goes on with the last one.
fn parse_line(input: &mut &str, position: &CasePosition, cases: &mut Vec<Case>) -> Result<(), LineError> {
    let (indent, line) = line(input).ok().context(NoLineSnafu)?;
    let line = line.trim_end();
    if line.is_empty() || line.starts_with('#') {
        return Ok(());
    }
    let mut rest = line;
    let head = plain(&mut rest).ok().context(NoKeywordSnafu)?;
    if !rest.is_empty() && space1::<_, Fault>(&mut rest).is_err() {
        return NoBlankSnafu.fail();
    }
    let arguments = arguments(&mut rest).ok().context(UnknownFormSnafu)?;
    ensure!(arguments.iter().all(is_valid), NotJsonSnafu);
    if !indent.is_empty() {
        return apply_line(cases.last_mut().context(NoCaseSnafu)?, head, arguments);
    }
    let [Argument::Plain(name)] = &arguments[..] else { return InvalidNameSnafu.fail() };
    ensure!(head == "case", NotIndentedSnafu);
    ensure!(!cases.iter().any(|case| case.name == *name), NameInUseSnafu);
    let (name, position) = (name.clone(), position.clone());
    cases.push(Case { name, position, serve: vec![Vec::new()], ..Case::default() });
    Ok(())
}

/// Whether texts and JSON values are what they look like.
fn is_valid(word: &Argument) -> bool {
    match word {
        // Texts may hold halves of a character, which only a reader of bytes takes.
        Argument::Text(json) => {
            serde_json::from_str::<crate::front::translate::text_fragment::TextFragment>(json).is_ok()
        }
        Argument::Json(json) => serde_json::from_str::<serde_json::Value>(json).is_ok(),
        Argument::Plain(_) => true,
    }
}

fn dialect(word: &str) -> Result<Dialect, LineError> {
    match word {
        "messages" => Ok(Dialect::Messages),
        "platform" => Ok(Dialect::Platform),
        word => UnknownWordSnafu { word, kind: "dialect" }.fail(),
    }
}

fn fleet(word: &str) -> Result<Fleet, LineError> {
    match word {
        "own" => Ok(Fleet::Own),
        "one" => Ok(Fleet::One),
        "dead" => Ok(Fleet::Dead),
        "cold" => Ok(Fleet::Cold),
        word => UnknownWordSnafu { word, kind: "fleet" }.fail(),
    }
}

fn outcome(word: &str) -> Result<Outcome, LineError> {
    match word {
        "served" => Ok(Outcome::Served),
        "broken" => Ok(Outcome::Broken),
        "turned-down" => Ok(Outcome::Shed),
        "failed" => Ok(Outcome::Failed),
        "refused" => Ok(Outcome::Refused),
        word => UnknownWordSnafu { word, kind: "outcome" }.fail(),
    }
}

fn directive(arguments: Vec<Argument>) -> Result<Directive, LineError> {
    let mut arguments = arguments.into_iter();
    match arguments.next() {
        Some(Argument::Plain(keyword)) => Ok(Directive { keyword, arguments: arguments.collect() }),
        _ => NoDirectiveSnafu.fail(),
    }
}

fn apply_line(case: &mut Case, head: &str, rest: Vec<Argument>) -> Result<(), LineError> {
    let (head, only) = match head.split_once('@') {
        Some((head, of)) => (head, Some(dialect(of)?)),
        None => (head, None),
    };
    let first = rest.first().map(Argument::text).unwrap_or_default();
    match head {
        "fronts" => case.fronts.push(dialect(&first)?),
        "servers" => case.replicas.push(dialect(&first)?),
        "fleet" => case.fleet = fleet(&first)?,
        "ask" => case.request_directives.push(directive(rest)?),
        "then" => case.serve.push(Vec::new()),
        "serve" => case.serve.last_mut().context(NothingToServeSnafu)?.push(directive(rest)?),
        "see" => case.see.push(Expectation { dialect: only, directive: directive(rest)? }),
        "sent" => {
            let directive = directive(rest)?;
            ensure!(directive.keyword.starts_with('/') && directive.arguments.len() == 1, NoPointerSnafu);
            case.sent.push(Expectation { dialect: only, directive });
        }
        "attempts" => case.attempts = Some(first.parse().ok().context(NotANumberSnafu)?),
        "outcome" => case.outcome = outcome(&first)?,
        word => return UnknownWordSnafu { word, kind: "keyword" }.fail(),
    }
    Ok(())
}
