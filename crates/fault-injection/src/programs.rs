//! Builds the programs under test with cargo, in the profile of the running executable.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Mutex, PoisonError};

use snafu::{OptionExt, ResultExt};

use crate::error::{BuildSnafu, IoSnafu, Result};

/// The packages that contain the programs.
const PACKAGES: [&str; 3] = ["tulipridge-proxy", "tulipridge-agent", "tulipridge-control-plane"];
/// The subfolder of a profile's folder that contains test executables.
const TEST_FOLDER: &str = "deps";
/// The name of the release profile's folder.
const RELEASE_FOLDER: &str = "release";

/// Paths of the programs' executables.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The executable of a control-plane member.
    pub member: PathBuf,
    /// The executable of the agent.
    pub agent: PathBuf,
    /// The executable of the proxy.
    pub proxy: PathBuf,
}

impl Programs {
    /// Builds the programs at the first call in a process; later calls return the same paths.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Io`](crate::error::HarnessError::Io) if cargo can't be run;
    /// [`HarnessError::Build`](crate::error::HarnessError::Build) if it fails.
    pub fn build() -> Result<Programs> {
        static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);
        let mut built = FOLDER.lock().unwrap_or_else(PoisonError::into_inner);
        let folder = match &*built {
            Some(folder) => folder.clone(),
            None => built.insert(build()?).clone(),
        };
        let program = |name: &str| folder.join(name);
        Ok(Programs {
            member: program("tulipridge-control-plane"),
            agent: program("tulipridge-agent"),
            proxy: program("tulipridge-proxy"),
        })
    }
}

fn build() -> Result<PathBuf> {
    let executable = std::env::current_exe().context(IoSnafu { action: "find this program" })?;
    let folder = profile_folder(&executable).context(BuildSnafu { reason: "no target folder" })?;
    let target = folder.parent().context(BuildSnafu { reason: "no target folder" })?;
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--locked", "--quiet", "--target-dir"]).arg(target);
    command.args(["--manifest-path", concat!(env!("CARGO_MANIFEST_DIR"), "/../../Cargo.toml")]);
    command.args(PACKAGES.iter().flat_map(|package| ["--package", package]));
    if folder.ends_with(RELEASE_FOLDER) {
        command.arg("--release");
    }
    let output = command.output().context(IoSnafu { action: "run cargo" })?;
    if !output.status.success() {
        return BuildSnafu { reason: String::from_utf8_lossy(&output.stderr) }.fail();
    }
    Ok(folder)
}

/// The folder of the profile in which `executable` was built; `None` if the path has no such folder.
fn profile_folder(executable: &Path) -> Option<PathBuf> {
    let folder = executable.parent()?;
    let folder = if folder.ends_with(TEST_FOLDER) { folder.parent()? } else { folder };
    Some(folder.to_owned())
}
