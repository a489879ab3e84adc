//! The system packages that a build needs: `packages` in `deploy/system.toml` against what the dependencies ask for.
//!
//! A dependency can ask the machine for more than a Rust toolchain in two ways: by its build script, or by a library that it
//! links (`links` in its manifest). So each dependency that has either is listed here, with what was read in its script.

#[path = "support/cargo_metadata.rs"]
mod cargo_metadata;

use std::collections::{BTreeMap, BTreeSet};

use cargo_metadata::{Metadata, Package, TARGET_PLATFORM};

/// The file that names the system packages.
const SYSTEM_FILE: &str = include_str!("../deploy/system.toml");

/// The system packages that a step needs whatever the dependencies are.
const STEP_PACKAGES: [(&str, &str); 7] = [
    ("ca-certificates", "cargo checks the registry's certificate against it"),
    ("cargo-web", "builds; Debian's plain cargo is too old for edition 2024"),
    ("gcc", "rustc calls `cc` to link; `ld` comes with it"),
    ("git", "`.ci/bare-build` clones the sources"),
    ("libc6-dev", "crt1.o, libc.so and libm.so, which every program is linked with"),
    ("procps", "tests send signals by `kill`"),
    ("rustc-web", "compiles, and brings the standard library"),
];

/// A dependency with a build script that was read.
struct ReviewedScript {
    /// The dependency's name.
    dependency: &'static str,
    /// What its script does.
    finding: &'static str,
    /// The system packages that it needs beside a Rust toolchain.
    system_packages: &'static [&'static str],
}

const ASKS_RUSTC: &str = "asks rustc for its version, or whether it compiles a probe";
const READS_ENVIRONMENT: &str = "reads cargo's variables only";

const REVIEWED_SCRIPTS: [ReviewedScript; 16] = [
    needs_nothing("async-io", ASKS_RUSTC),
    needs_nothing("crc32fast", ASKS_RUSTC),
    needs_nothing("crossbeam-utils", READS_ENVIRONMENT),
    needs_nothing("generic-array", ASKS_RUSTC),
    needs_nothing("getrandom", READS_ENVIRONMENT),
    needs_nothing("libc", ASKS_RUSTC),
    needs_nothing("libm", READS_ENVIRONMENT),
    needs_nothing("num-traits", ASKS_RUSTC),
    needs_nothing("proc-macro2", ASKS_RUSTC),
    needs_nothing("quote", ASKS_RUSTC),
    needs_nothing("rstest_macros", ASKS_RUSTC),
    needs_nothing("rustix", ASKS_RUSTC),
    needs_nothing("serde", ASKS_RUSTC),
    needs_nothing("serde_core", ASKS_RUSTC),
    needs_nothing("serde_json", READS_ENVIRONMENT),
    needs_nothing("zmij", ASKS_RUSTC),
];

/// Crates by which build scripts compile foreign code or look for libraries of the machine.
const NATIVE_BUILD_HELPERS: [&str; 10] = [
    "autotools",
    "bindgen",
    "cc",
    "clang-sys",
    "cmake",
    "metadeps",
    "nasm-rs",
    "pkg-config",
    "system-deps",
    "vcpkg",
];

const fn needs_nothing(dependency: &'static str, finding: &'static str) -> ReviewedScript {
    ReviewedScript { dependency, finding, system_packages: &[] }
}

/// Everything that the whole workspace and its tests compile on the system's machines.
fn compiled_packages() -> Vec<Package> {
    Metadata::read(TARGET_PLATFORM).into_compiled_packages()
}

/// The list in `deploy/system.toml`.
fn listed_system_packages() -> Vec<String> {
    let document: toml_edit::DocumentMut = SYSTEM_FILE.parse().expect("the file is TOML");
    let list = document["packages"].as_array().expect("`packages` is a list");
    list.iter().map(|entry| entry.as_str().expect("each entry is a name").to_owned()).collect()
}

#[test]
fn every_build_script_was_reviewed_and_every_review_has_its_script() {
    let reviewed: BTreeMap<&str, &str> =
        REVIEWED_SCRIPTS.iter().map(|script| (script.dependency, script.finding)).collect();
    let packages = compiled_packages();
    let with_script: BTreeSet<&str> = packages
        .iter()
        .filter(|package| package.has_build_script())
        .map(|package| package.name.as_str())
        .collect();
    let unreviewed: Vec<&&str> = with_script.iter().filter(|name| !reviewed.contains_key(**name)).collect();
    assert!(unreviewed.is_empty(), "read the build scripts of {unreviewed:?}, then list them here");
    let outdated: Vec<_> = reviewed.iter().filter(|(name, _)| !with_script.contains(*name)).collect();
    assert!(outdated.is_empty(), "no build script is left of {outdated:?}");
}

#[test]
fn no_dependency_links_a_library_of_the_machine() {
    let packages = compiled_packages();
    let linking: Vec<(&str, &str)> = packages
        .iter()
        .filter_map(|package| Some((package.name.as_str(), package.links.as_deref()?)))
        .collect();
    assert!(linking.is_empty(), "list the system packages of {linking:?}");
}

#[test]
fn no_build_script_compiles_foreign_code() {
    let packages = compiled_packages();
    let helpers: Vec<&str> = packages
        .iter()
        .map(|package| package.name.as_str())
        .filter(|name| NATIVE_BUILD_HELPERS.contains(name))
        .collect();
    assert!(helpers.is_empty(), "list what those need that use {helpers:?}");
}

#[test]
fn the_list_names_what_the_steps_and_the_build_scripts_need() {
    let for_steps = STEP_PACKAGES.iter().map(|(name, _)| *name);
    let for_scripts = REVIEWED_SCRIPTS.iter().flat_map(|script| script.system_packages.iter().copied());
    let needed: BTreeSet<&str> = for_steps.chain(for_scripts).collect();
    let listed = listed_system_packages();
    assert_eq!(listed, needed.into_iter().collect::<Vec<_>>(), "sorted, and each once");
}
