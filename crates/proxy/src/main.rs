//! The `proxy` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    tulipridge_runtime::command_line::start(
        "tulipridge-proxy",
        "The proxy",
        env!("CARGO_PKG_VERSION"),
        tulipridge_proxy::run::run,
    )
}
