//! The `tulipridge-agent` program.

use std::process::ExitCode;

use tulipridge_agent::agent;
use tulipridge_runtime::command_line;
use tulipridge_runtime::settings::Settings;

const DESCRIPTION: &str = "The agent beside each proxy: maintains the connection to the control plane";

fn main() -> ExitCode {
    command_line::start("tulipridge-agent", DESCRIPTION, env!("CARGO_PKG_VERSION"), run)
}

fn run(settings: Settings) -> ExitCode {
    match agent::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(error:% = error; "the agent can't run");
            ExitCode::FAILURE
        }
    }
}
