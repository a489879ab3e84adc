//! The executable `tulipridge`.

mod cli;
mod demo;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
