//! The programs under test, built by cargo beside this one.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Mutex, PoisonError};

use snafu::{OptionExt, ResultExt};

use crate::error::{BuildSnafu, Result, SystemSnafu};

/// The packages that have the programs.
const PACKAGES: [&str; 3] = ["tulipridge-proxy", "tulipridge-agent", "tulipridge-control-plane"];
/// The folder of a profile in which test programs lie.
const TEST_FOLDER: &str = "deps";
/// Where programs of the release profile lie.
const RELEASE_FOLDER: &str = "release";

/// Where the programs are.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The control plane.
    pub member: PathBuf,
    /// The agent.
    pub agent: PathBuf,
    /// The proxy.
    pub proxy: PathBuf,
}

impl Programs {
    /// Builds the programs, in the profile of the running program and beside it.
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
    let executable = std::env::current_exe().context(SystemSnafu { action: "find this program" })?;
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
    let output = command.output().context(SystemSnafu { action: "run cargo" })?;
    if !output.status.success() {
        return BuildSnafu { reason: String::from_utf8_lossy(&output.stderr) }.fail();
    }
    Ok(folder)
}

/// The folder of the profile with which this program was built.
fn profile_folder(executable: &Path) -> Option<PathBuf> {
    let folder = executable.parent()?;
    let folder = if folder.ends_with(TEST_FOLDER) { folder.parent()? } else { folder };
    Some(folder.to_owned())
}
