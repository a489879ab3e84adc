//! The machines of a deployment, with their programs.

use std::path::{Path, PathBuf};

use super::settings_file;
use crate::machine::Machine;
use crate::process::Process;
use crate::programs::Programs;

/// A control-plane member and its disk.
#[derive(Debug)]
pub struct Member {
    /// The machine that runs the program.
    pub machine: Machine,
    /// The member's process.
    pub process: Process,
    /// The folder of the write-ahead log.
    pub data_folder: PathBuf,
    /// Whether the program was started before.
    pub(super) has_booted: bool,
}

/// An edge machine and its two programs.
#[derive(Debug)]
pub struct Edge {
    /// The machine that runs both programs.
    pub machine: Machine,
    /// The agent's process.
    pub agent: Process,
    /// The proxy's process.
    pub proxy: Process,
}

impl Member {
    pub(super) fn new(machine: Machine, programs: &Programs, folder: &Path) -> Member {
        let process = new_process(&programs.member, &machine, "member", folder);
        let data_folder = folder.join(format!("{}.data", machine.name));
        Member { machine, process, data_folder, has_booted: false }
    }
}

impl Edge {
    pub(super) fn new(machine: Machine, programs: &Programs, folder: &Path) -> Edge {
        let agent = new_process(&programs.agent, &machine, "agent", folder);
        let proxy = new_process(&programs.proxy, &machine, "proxy", folder);
        Edge { machine, agent, proxy }
    }
}

fn new_process(binary: &Path, machine: &Machine, program: &str, folder: &Path) -> Process {
    let log = folder.join(format!("{}-{program}.log", machine.name));
    Process::new(binary.to_owned(), settings_file::path(folder, machine), log)
}
