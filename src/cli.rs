//! The command line: parses the arguments and runs the command that they name.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;

use base64::Engine as _;

use clap::{Args, Parser, Subcommand, ValueEnum};

use tulipridge::api_keys;
use tulipridge::config::{Config, Sources};
use tulipridge::conformance::{self, Pairing};
use tulipridge::names::Dialect;
use tulipridge::net::listen;
use tulipridge::settings::Settings;

use crate::{demo, serve};

/// The minimum length of a client's key; a shorter one could be found by brute force.
const MIN_KEY_CHARS: usize = 24;

/// A gateway for the replicas of a language model.
///
/// Without a command it serves, as 'serve' does. To try it without any configuration, run 'tulipridge demo'.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    files: FileOptions,
}

#[derive(Args, Clone)]
struct FileOptions {
    /// The platform's configuration, JSON: name, addresses, limits, classes [default: the file that EDGE_CONFIG names]
    #[arg(long, value_name = "FILE")]
    config: Option<String>,
    /// The program's own settings, HCL [default: the file that TULIPRIDGE_SETTINGS names, else
    /// deploy/tulipridge.hcl if it exists]
    #[arg(long, value_name = "FILE")]
    settings: Option<String>,
}

/// A dialect as an argument of the command line.
#[derive(Clone, Copy, ValueEnum)]
enum DialectArgument {
    Platform,
    Messages,
}

impl From<DialectArgument> for Dialect {
    fn from(argument: DialectArgument) -> Dialect {
        match argument {
            DialectArgument::Platform => Dialect::Platform,
            DialectArgument::Messages => Dialect::Messages,
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM or Ctrl-C; SIGHUP reloads the files
    Serve(FileOptions),
    /// Validate a settings file as at a start and print the first error, without starting; exit status 0 if it is valid
    Check {
        /// The settings file, HCL
        file: String,
        /// Also check its names against this configuration [default: the file that EDGE_CONFIG names, if it is set]
        #[arg(long, value_name = "FILE")]
        config: Option<String>,
    },
    /// Run the conformance suite: on all pairings of fronts and replicas, with gateways that it starts, or against a
    /// running gateway; exit status 0 if all cases that were run have passed
    Conformance(ConformanceOptions),
    /// Generate a key for a client of the messages front, and print its line for the settings
    Key {
        /// The name of the key in the settings
        name: String,
        /// The tenant that the key belongs to
        #[arg(long)]
        tenant: Option<String>,
        /// Read an existing key from standard input instead of generating one
        #[arg(long)]
        read: bool,
    },
    /// Start demo replicas, a list service and a gateway with both fronts on loopback, and print two example requests
    Demo {
        /// The port of the platform front; the messages front uses the next one. 0 takes any two free ports
        #[arg(long, default_value_t = 8080)]
        port: u16,
    },
}

#[derive(Args)]
struct ConformanceOptions {
    /// The front of a running gateway whose replicas are stand-ins of this suite
    #[arg(long, value_name = "ADDRESS", requires = "front", requires = "servers")]
    against: Option<SocketAddr>,
    /// The dialect of that front
    #[arg(long, value_enum)]
    front: Option<DialectArgument>,
    /// The dialect of the replicas behind it
    #[arg(long, value_enum)]
    servers: Option<DialectArgument>,
    /// Run the stand-ins for such a gateway until Ctrl-C, with the list service on this port
    #[arg(long, value_name = "PORT", requires = "servers", conflicts_with = "against")]
    stand_in: Option<u16>,
    /// Run only cases whose names contain this
    #[arg(long, value_name = "WORD")]
    only: Option<String>,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
}

/// Parses the command line and runs its command.
pub(crate) fn run() -> ExitCode {
    let arguments = Arguments::parse();
    match arguments.command.unwrap_or(Command::Serve(arguments.files)) {
        Command::Serve(files) => serve_files(files),
        Command::Check { file, config } => check(file, config),
        Command::Conformance(options) => run_conformance(options),
        Command::Key { name, tenant, read } => print_key(&name, tenant.as_deref(), read),
        Command::Demo { port } => run_demo(port),
    }
}

/// Serves with the configuration and settings from these files.
fn serve_files(files: FileOptions) -> ExitCode {
    let sources = Sources { config: files.config, settings: files.settings };
    let inherited = match listen::inherited_listener() {
        Ok(inherited) => inherited,
        Err(error) => return fail(&error.to_string()),
    };
    match Config::load(&sources) {
        Ok(config) => serve::serve(config, sources, inherited),
        Err(error) => fail(&error.to_string()),
    }
}

/// Validates a settings file, together with the configuration if one is named.
fn check(file: String, config: Option<String>) -> ExitCode {
    let sources = Sources { config, settings: Some(file.clone()) };
    if sources.config().is_none() {
        return match Settings::load(&file) {
            Ok(_) => {
                println!("{file}: valid; names of classes and tenants are checked only with --config");
                ExitCode::SUCCESS
            }
            Err(error) => fail(&error.to_string()),
        };
    }
    // With the configuration, all checks of a start apply.
    match Config::load(&sources) {
        Ok(config) => {
            let limits = config.limits();
            println!(
                "{file}: valid; buffer limits in bytes: {} per stream, {} for all streams, {} per socket",
                limits.stream.high_watermark, limits.stream.budget, limits.wire.socket_buffer
            );
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error.to_string()),
    }
}

/// Runs the conformance suite, or only its stand-ins.
fn run_conformance(options: ConformanceOptions) -> ExitCode {
    let ConformanceOptions { against, front, servers, stand_in, only, json } = options;
    let mut cases = match conformance::cases() {
        Ok(cases) => cases,
        Err(error) => return fail(&error.to_string()),
    };
    cases.retain(|c| only.as_ref().is_none_or(|word| c.name.contains(word)));
    if cases.is_empty() {
        return fail("--only: no name of a case contains this word");
    }
    if let (Some(port), Some(servers)) = (stand_in, servers) {
        return run_stand_ins(servers.into(), &cases, port);
    }
    let report = match (against, front, servers) {
        (Some(addr), Some(front), Some(servers)) => {
            let pairing = Pairing { front: front.into(), replicas: servers.into() };
            Ok(conformance::run_against(&cases, pairing, addr))
        }
        _ => std::env::current_exe()
            .and_then(|program| conformance::run_all_pairings(&cases, &program, &std::env::temp_dir(), 16)),
    };
    match report {
        Ok(report) => {
            print!("{}", if json { report.json() + "\n" } else { report.text() });
            if report.all_passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(e) => fail(&format!("conformance: {e}")),
    }
}

/// Runs the demo, with its two fronts on `port` and the next port.
fn run_demo(port: u16) -> ExitCode {
    let next = if port == 0 { Some(0) } else { port.checked_add(1) };
    let Some(next) = next else {
        return fail("--port: no next port exists for the messages front");
    };
    let at = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    demo::run(at(port), at(next))
}

/// Prints the files for a gateway in front of the stand-ins, and runs the stand-ins until the process is terminated.
fn run_stand_ins(servers: Dialect, cases: &[conformance::case::Case], port: u16) -> ExitCode {
    let fleet = conformance::case::Fleet::Shared;
    match conformance::stand_in::StandIns::start(servers, fleet, cases, port) {
        Ok(stand_ins) => {
            println!("# configuration of the gateway (--config):\n{}", conformance::config(&stand_ins));
            println!("# settings of the gateway (--settings):\n{}", conformance::settings(servers));
            loop {
                std::thread::park();
            }
        }
        Err(e) => fail(&format!("conformance: list service on port {port}: {e}")),
    }
}

/// Prints a client's key and the line for the settings that contains its hash.
fn print_key(name: &str, tenant: Option<&str>, read: bool) -> ExitCode {
    let key = if read {
        let mut line = String::new();
        match std::io::stdin().read_line(&mut line) {
            Ok(_) => line.trim().to_owned(),
            Err(e) => return fail(&format!("key: standard input: {e}")),
        }
    } else {
        let mut bytes = [0; 32];
        if let Err(e) = getrandom::fill(&mut bytes) {
            return fail(&format!("key: can't generate random numbers: {e}"));
        }
        format!("tr-{}", base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(bytes))
    };
    if key.len() < MIN_KEY_CHARS {
        return fail(&format!("key: fewer than {MIN_KEY_CHARS} characters can be found by brute force"));
    }
    let tenant = tenant.map_or(String::new(), |t| format!(", tenant = {t:?}"));
    println!("# the client's: {}", if read { "as read" } else { &key });
    println!("# for messages.keys in the settings:");
    println!("{name:?} = {{ sha256 = \"{}\"{tenant} }}", api_keys::digits_of(&key));
    ExitCode::SUCCESS
}

/// Prints an error message; returns the exit status of a failed command.
fn fail(message: &str) -> ExitCode {
    eprintln!("tulipridge: {message}");
    ExitCode::FAILURE
}
