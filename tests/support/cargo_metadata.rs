//! The output of `cargo metadata` for the workspace and its dependencies, as far as tests read it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::process::Command;

use serde::Deserialize;

/// Platform of the machines that run the system; dependencies for other platforms are not compiled there.
pub(crate) const TARGET_PLATFORM: &str = "x86_64-unknown-linux-gnu";

#[derive(Deserialize)]
pub(crate) struct Metadata {
    packages: Vec<Package>,
    resolve: Resolve,
}

#[derive(Deserialize)]
pub(crate) struct Package {
    id: String,
    pub(crate) name: String,
    pub(crate) links: Option<String>,
    pub(crate) rust_version: Option<String>,
    /// `None` for a package of the workspace.
    source: Option<String>,
    manifest_path: PathBuf,
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct Target {
    kind: Vec<String>,
}

/// The dependency graph of the lock file, resolved for one platform.
#[derive(Deserialize)]
struct Resolve {
    nodes: Vec<Node>,
}

#[derive(Deserialize)]
struct Node {
    id: String,
    deps: Vec<Dependency>,
}

#[derive(Deserialize)]
struct Dependency {
    pkg: String,
    dep_kinds: Vec<DependencyKind>,
}

#[derive(Deserialize)]
struct DependencyKind {
    kind: Option<String>,
}

impl Package {
    pub(crate) fn has_build_script(&self) -> bool {
        self.targets.iter().any(|target| target.kind.iter().any(|kind| kind == "custom-build"))
    }

    pub(crate) fn is_in_workspace(&self) -> bool {
        self.source.is_none()
    }

    /// The folder of the package's manifest.
    pub(crate) fn folder(&self) -> PathBuf {
        self.manifest_path.parent().expect("the folder of a manifest").to_owned()
    }
}

impl Dependency {
    /// Whether a build without tests needs the dependency.
    fn is_needed_without_tests(&self) -> bool {
        self.dep_kinds.iter().any(|kind| kind.kind.as_deref() != Some("dev"))
    }
}

impl Metadata {
    /// Reads the metadata of the workspace, resolved for `platform` with the versions of the lock file.
    pub(crate) fn read(platform: &str) -> Metadata {
        let output = Command::new(env!("CARGO"))
            .args(["metadata", "--locked", "--format-version", "1", "--filter-platform", platform])
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .output()
            .expect("run cargo");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        serde_json::from_slice(&output.stdout).expect("parse the metadata")
    }

    /// All packages that are compiled for the workspace and its tests.
    pub(crate) fn into_compiled_packages(self) -> Vec<Package> {
        let compiled: BTreeSet<String> = self.resolve.nodes.into_iter().map(|node| node.id).collect();
        self.packages.into_iter().filter(|package| compiled.contains(&package.id)).collect()
    }

    /// Packages that are compiled for these packages of the workspace, without those only for tests.
    pub(crate) fn into_packages_needed_by(self, names: &[&str]) -> Vec<Package> {
        let nodes: BTreeMap<&str, &Node> =
            self.resolve.nodes.iter().map(|node| (node.id.as_str(), node)).collect();
        let is_named = |package: &&Package| names.contains(&package.name.as_str());
        let mut pending: Vec<String> =
            self.packages.iter().filter(is_named).map(|package| package.id.clone()).collect();
        let mut needed = BTreeSet::new();
        while let Some(id) = pending.pop() {
            let dependencies = &nodes[id.as_str()].deps;
            if needed.insert(id) {
                pending.extend(
                    dependencies
                        .iter()
                        .filter(|dependency| dependency.is_needed_without_tests())
                        .map(|dependency| dependency.pkg.clone()),
                );
            }
        }
        self.packages.into_iter().filter(|package| needed.contains(&package.id)).collect()
    }
}
