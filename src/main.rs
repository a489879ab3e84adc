//! The program: its command line, and what each command starts.

mod cli;
mod demo;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
