//! Adapter between the simulator's line protocol and the load balancers of any number of gateways. All decisions are made
//! by the load balancers.

mod host;
mod parse;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::str::Utf8Error;

use snafu::{ResultExt, Snafu};

use parse::FieldError;

fn main() -> ExitCode {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    match run(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tulipridge-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The error with which the program ends. Errors of a line state its number, the field and the problem; the
/// field is `line` for a problem of the complete line.
#[derive(Debug, Snafu)]
enum HostError {
    /// The input can't be read.
    #[snafu(display("line {number}: {source}"))]
    Read { number: u64, source: io::Error },
    /// The last line has no line terminator.
    #[snafu(display("line {number}: line: the line terminator is missing"))]
    Truncated { number: u64 },
    /// A line is not UTF-8.
    #[snafu(display("line {number}: line: not UTF-8"))]
    NotUtf8 { number: u64, source: Utf8Error },
    /// A line is invalid.
    #[snafu(display("line {number}: {source}"))]
    Line { number: u64, source: FieldError },
    /// The reply can't be written.
    #[snafu(display("line {number}: reply: {source}"))]
    Reply { number: u64, source: io::Error },
}

/// Processes batches and writes the reply to each, until the input ends.
fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), HostError> {
    let mut host = host::Host::default();
    let mut line = Vec::new();
    let mut reply = String::new();
    for number in 1u64.. {
        line.clear();
        let length = input.read_until(b'\n', &mut line).context(ReadSnafu { number })?;
        if length == 0 {
            return host.end().context(LineSnafu { number });
        }
        if line.pop_if(|last| *last == b'\n').is_none() {
            return TruncatedSnafu { number }.fail();
        }
        line.pop_if(|last| *last == b'\r');
        let text = std::str::from_utf8(&line).context(NotUtf8Snafu { number })?;
        if host.process_line(text, &mut reply).context(LineSnafu { number })? {
            let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
            sent.context(ReplySnafu { number })?;
            reply.clear();
        }
    }
    Ok(())
}
