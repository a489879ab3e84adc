//! Cases as data: what a client asks, what the real server does, and what the client must see.
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
//!   schedulings 1
//! ```
//!
//! Words stand for themselves, texts are JSON strings, and a JSON value runs to the end of its line. `then` begins
//! what the next scheduling meets; the last one repeats. `see@messages` holds on that front alone; `sent@platform
//! /tool_choice "required"` says what of the body reaches real servers of that dialect, by a JSON pointer, `null` being
//! nothing.

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
    /// Where it stands: file and line.
    pub place: (String, usize),
    /// The fronts that it is for; none: all.
    pub fronts: Vec<Dialect>,
    /// The real servers' dialects that it is for; none: all.
    pub servers: Vec<Dialect>,
    /// The real servers that are there.
    pub fleet: Fleet,
    /// What the client asks.
    pub ask: Vec<Directive>,
    /// What each scheduling meets.
    pub serve: Vec<Vec<Directive>>,
    /// What the client must see, and on which front that holds.
    pub see: Vec<(Option<Dialect>, Directive)>,
    /// What of its body reaches the real servers of which dialect: a JSON pointer and the value there.
    pub sent: Vec<(Option<Dialect>, Directive)>,
    /// What becomes of the request.
    pub outcome: Outcome,
    /// How many schedulings reach a real server.
    pub schedulings: Option<usize>,
}

/// The real servers of a case.
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
    /// It is turned down; a new try does no harm.
    TurnedDown,
    /// It fails.
    Failed,
    /// It is held for wrong.
    Refused,
}

/// A keyword and what follows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Directive {
    /// The keyword.
    pub word: String,
    /// The rest.
    pub rest: Vec<Argument>,
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
        self.rest.get(n).map(Argument::text).unwrap_or_default()
    }

    /// The JSON of its nth part.
    pub fn json(&self, n: usize) -> String {
        self.rest.get(n).map_or_else(|| "null".into(), Argument::json)
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

fn word(input: &mut &str) -> Result<Argument, Fault> {
    alt((
        quoted.map(|text: &str| Argument::Text(text.to_owned())),
        plain.map(|text: &str| Argument::Plain(text.to_owned())),
        rest.verify(|text: &str| !text.is_empty()).map(|json: &str| Argument::Json(json.trim().to_owned())),
    ))
    .parse_next(input)
}

fn words(input: &mut &str) -> Result<Vec<Argument>, Fault> {
    terminated(repeat(0.., preceded(space0, word)), (space0, eof)).parse_next(input)
}

/// A line's indentation and its characters.
fn line<'s>(input: &mut &'s str) -> Result<(&'s str, &'s str), Fault> {
    (space0, terminated(take_till(0.., '\n'), opt('\n'))).parse_next(input)
}

/// Reads a file; a fault names its line.
///
/// # Errors
///
/// The file, the line and what is wrong with it, for the first line that is no part of a case.
pub fn parse(file: &str, text: &str) -> Result<Vec<Case>, String> {
    let mut cases: Vec<Case> = Vec::new();
    let mut input = text;
    let mut number = 0;
    while !input.is_empty() {
        number += 1;
        let fault = |what: &str| format!("{file}:{number}: {what}");
        let (indent, line) = line(&mut input).map_err(|_| fault("no line"))?;
        let line = line.trim_end();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let mut rest = line;
        let head = plain(&mut rest).map_err(|_| fault("no keyword"))?;
        if !rest.is_empty() && space1::<_, Fault>(&mut rest).is_err() {
            return Err(fault("a blank is missing after the keyword"));
        }
        let words = words(&mut rest).map_err(|_| fault("not words, texts or a JSON value"))?;
        for word in &words {
            let good = match word {
                // Texts may hold halves of a character, which only a reader of bytes takes.
                Argument::Text(json) => {
                    serde_json::from_str::<crate::front::translate::text_fragment::TextFragment>(json)
                        .is_ok()
                }
                Argument::Json(json) => serde_json::from_str::<serde_json::Value>(json).is_ok(),
                Argument::Plain(_) => true,
            };
            if !good {
                return Err(fault("not a JSON value"));
            }
        }
        let place = (file.to_owned(), number);
        if indent.is_empty() {
            let [Argument::Plain(name)] = &words[..] else {
                return Err(fault("a case's name is one word"));
            };
            if head != "case" {
                return Err(fault("only 'case' begins at a line's start"));
            }
            if cases.iter().any(|c| c.name == *name) {
                return Err(fault("this name was given before"));
            }
            cases.push(Case { name: name.clone(), place, serve: vec![Vec::new()], ..Case::default() });
            continue;
        }
        let case = cases.last_mut().ok_or_else(|| fault("no case to go on with"))?;
        entry(case, head, words).map_err(|what| fault(&what))?;
    }
    Ok(cases)
}

fn entry(case: &mut Case, head: &str, rest: Vec<Argument>) -> Result<(), String> {
    let dialect = |word: &str| match word {
        "messages" => Ok(Dialect::Messages),
        "platform" => Ok(Dialect::Platform),
        other => Err(format!("'{other}' is no dialect")),
    };
    let (head, only) = match head.split_once('@') {
        Some((head, of)) => (head, Some(dialect(of)?)),
        None => (head, None),
    };
    let first = rest.first().map(Argument::text).unwrap_or_default();
    let followed = |rest: Vec<Argument>| -> Result<Directive, String> {
        let mut rest = rest.into_iter();
        match rest.next() {
            Some(Argument::Plain(word)) => Ok(Directive { word, rest: rest.collect() }),
            _ => Err("a keyword has to follow".into()),
        }
    };
    match head {
        "fronts" => case.fronts.push(dialect(&first)?),
        "servers" => case.servers.push(dialect(&first)?),
        "fleet" => {
            case.fleet = match first.as_str() {
                "own" => Fleet::Own,
                "one" => Fleet::One,
                "dead" => Fleet::Dead,
                "cold" => Fleet::Cold,
                other => return Err(format!("'{other}' is no fleet")),
            }
        }
        "ask" => case.ask.push(followed(rest)?),
        "then" => case.serve.push(Vec::new()),
        "serve" => {
            let words = followed(rest)?;
            case.serve.last_mut().ok_or("nothing to serve")?.push(words);
        }
        "see" => case.see.push((only, followed(rest)?)),
        "sent" => {
            let words = followed(rest)?;
            if !words.word.starts_with('/') || words.rest.len() != 1 {
                return Err("a JSON pointer and one value have to follow".into());
            }
            case.sent.push((only, words));
        }
        "schedulings" => case.schedulings = Some(first.parse().map_err(|_| "not a number")?),
        "outcome" => {
            case.outcome = match first.as_str() {
                "served" => Outcome::Served,
                "broken" => Outcome::Broken,
                "turned-down" => Outcome::TurnedDown,
                "failed" => Outcome::Failed,
                "refused" => Outcome::Refused,
                other => return Err(format!("'{other}' is no outcome")),
            }
        }
        other => return Err(format!("'{other}' is no keyword")),
    }
    Ok(())
}
