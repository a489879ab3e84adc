//! The adapter: speaks the simulator's wire for any number of gateways, and decides nothing.

mod host;
mod parse;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    match run(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("tulipridge-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends.
fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let mut line = Vec::new();
    let mut reply = String::new();
    for number in 1u64.. {
        line.clear();
        let length = input.read_until(b'\n', &mut line).map_err(|e| format!("line {number}: {e}"))?;
        if length == 0 {
            return host.end().map_err(|e| format!("line {number}: {e}"));
        }
        if line.pop_if(|last| *last == b'\n').is_none() {
            return Err(format!("line {number}: line: cut off before its end"));
        }
        line.pop_if(|last| *last == b'\r');
        let text = std::str::from_utf8(&line).map_err(|_| format!("line {number}: line: not UTF-8"))?;
        if host.line(text, &mut reply).map_err(|e| format!("line {number}: {e}"))? {
            let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
            sent.map_err(|e| format!("line {number}: reply: {e}"))?;
            reply.clear();
        }
    }
    Ok(())
}
