//! The `tulipridge-control-plane` program.

use std::process::ExitCode;

use tulipridge_runtime::command_line;

/// Description in the program's help text.
const DESCRIPTION: &str = "The control plane: replicated state, service discovery, delivery, weights";

fn main() -> ExitCode {
    command_line::start("tulipridge-control-plane", DESCRIPTION, env!("CARGO_PKG_VERSION"), |settings| {
        match tulipridge_control_plane::server::run(settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                log::error!(error:% = error; "the control plane failed");
                ExitCode::FAILURE
            }
        }
    })
}
