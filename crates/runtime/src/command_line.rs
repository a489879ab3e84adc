//! The command line that all programs of the system share: `run` (the default), `check FILE`
//! and `--version`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, OptionParser, Parser, construct, positional, pure};

use crate::clock;
use crate::logging;
use crate::settings::{Settings, SettingsError};

/// Width of help texts.
const HELP_COLUMNS: usize = 100;

/// A command of the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Runs the program with the settings file that [`crate::settings::PATH_VARIABLE`] names.
    Run,
    /// Validates a settings file and prints the findings.
    Check {
        /// Path of the settings file.
        file: PathBuf,
    },
}

/// Returns the parser of the command line.
#[must_use]
pub fn parser(description: &'static str, version: &'static str) -> OptionParser<Command> {
    let run = pure(Command::Run).to_options().descr("Runs the program (the default)").command("run");
    let file = positional::<PathBuf>("FILE").help("A settings file (YAML)");
    let check =
        construct!(Command::Check { file }).to_options().descr("Checks a settings file").command("check");
    let default = pure(Command::Run);
    construct!([run, check, default]).to_options().descr(description).version(version)
}

/// The `main` function of a program: parses the command line, and for `run` loads the settings, starts logging and
/// calls `run`.
pub fn start(
    program: &'static str,
    description: &'static str,
    version: &'static str,
    run: impl FnOnce(Settings) -> ExitCode,
) -> ExitCode {
    clock::now();
    match parser(description, version).run_inner(Args::current_args()) {
        Ok(Command::Run) => run_with_settings(program, run),
        Ok(Command::Check { file }) => print_findings(&Settings::read(&file)),
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            ExitCode::from(failure.exit_code() as u8)
        }
    }
}

fn run_with_settings(program: &'static str, run: impl FnOnce(Settings) -> ExitCode) -> ExitCode {
    match Settings::load() {
        Ok(settings) => {
            logging::init(program, &settings.node_name);
            run(settings)
        }
        Err(error) => {
            logging::init(program, "");
            log::error!(error:% = error; "the settings can't be used");
            ExitCode::FAILURE
        }
    }
}

/// Prints the findings of a validation; the exit code is a failure if there are any.
fn print_findings(result: &Result<Settings, SettingsError>) -> ExitCode {
    match result {
        Ok(settings) => {
            println!("{}: the settings can be used", settings.node_name);
            return ExitCode::SUCCESS;
        }
        Err(SettingsError::Invalid { findings }) => {
            findings.iter().for_each(|finding| println!("{finding}"));
        }
        Err(error) => println!("{error}"),
    }
    ExitCode::FAILURE
}
