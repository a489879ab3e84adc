//! The command line.

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

/// A gateway for the replicas of a language model.
///
/// Without a command it serves, as 'serve' does. To see it work with nothing else at hand: 'tulipridge demo'.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Line {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    files: Files,
}

#[derive(Args, Clone)]
struct Files {
    /// The platform's configuration, JSON: name, addresses, limits, classes [default: what EDGE_CONFIG names]
    #[arg(long, value_name = "FILE")]
    config: Option<String>,
    /// The program's own settings, HCL [default: what TULIPRIDGE_SETTINGS names, else deploy/tulipridge.hcl if
    /// it is there]
    #[arg(long, value_name = "FILE")]
    settings: Option<String>,
}

/// A dialect, as the command line names it.
#[derive(Clone, Copy, ValueEnum)]
enum Speaks {
    Platform,
    Messages,
}

impl From<Speaks> for Dialect {
    fn from(speaks: Speaks) -> Dialect {
        match speaks {
            Speaks::Platform => Dialect::Platform,
            Speaks::Messages => Dialect::Messages,
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM or Ctrl-C; SIGHUP reads the files again
    Serve(Files),
    /// Check a settings file as a start would, name the first fault, and start nothing; exit status 0 if it is good
    Check {
        /// The settings file, HCL
        file: String,
        /// Check the names in it against this configuration too [default: what EDGE_CONFIG names, if it is set]
        #[arg(long, value_name = "FILE")]
        config: Option<String>,
    },
    /// Run the conformance suite: by itself over all pairings of fronts and replicas, or against a gateway that
    /// is up; exit status 0 if all that was run holds
    Conformance(ConformanceOptions),
    /// Make a key for a client of the messages front, and the line that the settings hold of it
    Key {
        /// The key's name in the settings
        name: String,
        /// The tenant whose it is
        #[arg(long)]
        tenant: Option<String>,
        /// Read the key from standard input, where there is one already, instead of making one
        #[arg(long)]
        read: bool,
    },
    /// Bring up toy replicas, a discovery and a gateway with both fronts on loopback, and print two calls
    Demo {
        /// The port of the platform's front, that of the messages front being the next; 0 takes any two
        #[arg(long, default_value_t = 8080)]
        port: u16,
    },
}

#[derive(Args)]
struct ConformanceOptions {
    /// The front of a gateway that is up, whose replicas are this suite's stand-ins
    #[arg(long, value_name = "ADDRESS", requires = "front", requires = "servers")]
    against: Option<SocketAddr>,
    /// That front's dialect
    #[arg(long, value_enum)]
    front: Option<Speaks>,
    /// The dialect of the replicas behind it
    #[arg(long, value_enum)]
    servers: Option<Speaks>,
    /// Bring up the stand-ins for such a gateway, with discovery at this port, until Ctrl-C
    #[arg(long, value_name = "PORT", requires = "servers", conflicts_with = "against")]
    stand_in: Option<u16>,
    /// Run only cases whose names hold this
    #[arg(long, value_name = "WORD")]
    only: Option<String>,
    /// Write the report as JSON
    #[arg(long)]
    json: bool,
}

/// Does what the command line says.
pub(crate) fn run() -> ExitCode {
    let line = Line::parse();
    match line.command.unwrap_or(Command::Serve(line.files)) {
        Command::Serve(files) => serve_files(files),
        Command::Check { file, config } => check(file, config),
        Command::Conformance(options) => run_conformance(options),
        Command::Key { name, tenant, read } => key(&name, tenant.as_deref(), read),
        Command::Demo { port } => run_demo(port),
    }
}

/// Serves with what these files say.
fn serve_files(files: Files) -> ExitCode {
    let sources = Sources { config: files.config, settings: files.settings };
    let inherited = match listen::inherited() {
        Ok(inherited) => inherited,
        Err(error) => return fault(&error.to_string()),
    };
    match Config::load(&sources) {
        Ok(config) => serve::serve(config, sources, inherited),
        Err(error) => fault(&error.to_string()),
    }
}

/// Checks a settings file, with the configuration beside it if there is one.
fn check(file: String, config: Option<String>) -> ExitCode {
    let sources = Sources { config, settings: Some(file.clone()) };
    if sources.config().is_none() {
        return match Settings::load(&file) {
            Ok(_) => {
                println!("{file}: good; names of classes and tenants need --config to be checked");
                ExitCode::SUCCESS
            }
            Err(error) => fault(&error.to_string()),
        };
    }
    // With the configuration beside it everything is checked that a start would check.
    match Config::load(&sources) {
        Ok(config) => {
            let limits = config.limits();
            println!(
                "{file}: good; a stream holds {} bytes, all of them {}, a socket's buffer {}",
                limits.stream.high_watermark, limits.stream.budget, limits.wire.socket_buffer
            );
            ExitCode::SUCCESS
        }
        Err(error) => fault(&error.to_string()),
    }
}

/// Runs the conformance suite, or serves its stand-ins.
fn run_conformance(options: ConformanceOptions) -> ExitCode {
    let ConformanceOptions { against, front, servers, stand_in, only, json } = options;
    let mut cases = match conformance::cases() {
        Ok(cases) => cases,
        Err(error) => return fault(&error.to_string()),
    };
    cases.retain(|c| only.as_ref().is_none_or(|word| c.name.contains(word)));
    if cases.is_empty() {
        return fault("--only: no case has such a name");
    }
    if let (Some(port), Some(servers)) = (stand_in, servers) {
        return conformance_stand_in(servers.into(), &cases, port);
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
        Err(e) => fault(&format!("conformance: {e}")),
    }
}

/// Brings up the demo, with its two fronts at `port` and the port after it.
fn run_demo(port: u16) -> ExitCode {
    let next = if port == 0 { Some(0) } else { port.checked_add(1) };
    let Some(next) = next else {
        return fault("--port: there is no next one for the messages front");
    };
    let at = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    demo::run(at(port), at(next))
}

/// Serves the stand-ins until it is ended, having printed what a gateway needs for them.
fn conformance_stand_in(servers: Dialect, cases: &[conformance::case::Case], port: u16) -> ExitCode {
    let fleet = conformance::case::Fleet::Shared;
    match conformance::stand_in::StandIns::start(servers, fleet, cases, port) {
        Ok(stand_ins) => {
            println!("# a gateway's configuration (--config):\n{}", conformance::config(&stand_ins));
            println!("# its settings (--settings):\n{}", conformance::settings(servers));
            loop {
                std::thread::park();
            }
        }
        Err(e) => fault(&format!("conformance: discovery at port {port}: {e}")),
    }
}

/// Prints a key, and what the settings hold of it.
fn key(name: &str, tenant: Option<&str>, read: bool) -> ExitCode {
    let key = if read {
        let mut line = String::new();
        match std::io::stdin().read_line(&mut line) {
            Ok(_) => line.trim().to_owned(),
            Err(e) => return fault(&format!("key: standard input: {e}")),
        }
    } else {
        let mut bytes = [0; 32];
        if let Err(e) = getrandom::fill(&mut bytes) {
            return fault(&format!("key: no random numbers: {e}"));
        }
        format!("tr-{}", base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(bytes))
    };
    // Guards against a key that could be found by trying.
    if key.len() < 24 {
        return fault("key: fewer than 24 characters could be found by trying");
    }
    let tenant = tenant.map_or(String::new(), |t| format!(", tenant = {t:?}"));
    println!("# the client's: {}", if read { "as read" } else { &key });
    println!("# for messages.keys in the settings:");
    println!("{name:?} = {{ sha256 = \"{}\"{tenant} }}", api_keys::digits_of(&key));
    ExitCode::SUCCESS
}

fn fault(what: &str) -> ExitCode {
    eprintln!("tulipridge: {what}");
    ExitCode::FAILURE
}
