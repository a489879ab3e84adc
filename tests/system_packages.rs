//! The system packages that a build needs: `packages` in `deploy/system.toml`, compared with the needs of the dependencies.
//!
//! A dependency can need more than a Rust toolchain in two ways: for its build script, or for a library that it links
//! (`links` in its manifest). Each dependency with a build script is listed here with the result of its review; a linked
//! library is not allowed.

#[path = "support/cargo_metadata.rs"]
mod cargo_metadata;

use std::collections::{BTreeMap, BTreeSet};

use cargo_metadata::{Metadata, Package, TARGET_PLATFORM};

/// The file that lists the system packages.
const SYSTEM_FILE: &str = include_str!("../deploy/system.toml");

/// System packages that the steps need independently of the dependencies, with the reason.
const STEP_PACKAGES: [(&str, &str); 7] = [
    ("ca-certificates", "cargo checks the registry's certificate against it"),
    ("cargo-web", "builds; Debian's plain cargo is too old for edition 2024"),
    ("gcc", "rustc calls `cc` to link; `ld` comes with it"),
    ("git", "`.ci/bare-build` clones the sources"),
    ("libc6-dev", "crt1.o, libc.so and libm.so, which every program is linked with"),
    ("procps", "tests send signals by `kill`"),
    ("rustc-web", "compiles, and brings the standard library"),
];

/// A dependency whose build script was reviewed.
struct ReviewedScript {
    /// Name of the dependency.
    dependency: &'static str,
    /// Summary of what the script does.
    finding: &'static str,
    /// System packages that the script needs besides a Rust toolchain.
    system_packages: &'static [&'static str],
}

const QUERIES_RUSTC: &str = "queries rustc for its version, or whether it compiles a probe";
const READS_ENVIRONMENT: &str = "reads only cargo's environment variables";

const REVIEWED_SCRIPTS: [ReviewedScript; 16] = [
    needs_nothing("async-io", QUERIES_RUSTC),
    needs_nothing("crc32fast", QUERIES_RUSTC),
    needs_nothing("crossbeam-utils", READS_ENVIRONMENT),
    needs_nothing("generic-array", QUERIES_RUSTC),
    needs_nothing("getrandom", READS_ENVIRONMENT),
    needs_nothing("libc", QUERIES_RUSTC),
    needs_nothing("libm", READS_ENVIRONMENT),
    needs_nothing("num-traits", QUERIES_RUSTC),
    needs_nothing("proc-macro2", QUERIES_RUSTC),
    needs_nothing("quote", QUERIES_RUSTC),
    needs_nothing("rstest_macros", QUERIES_RUSTC),
    needs_nothing("rustix", QUERIES_RUSTC),
    needs_nothing("serde", QUERIES_RUSTC),
    needs_nothing("serde_core", QUERIES_RUSTC),
    needs_nothing("serde_json", READS_ENVIRONMENT),
    needs_nothing("zmij", QUERIES_RUSTC),
];

/// Crates with which build scripts compile foreign code or look for system libraries.
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

/// All packages that the workspace and its tests compile on the target platform.
fn compiled_packages() -> Vec<Package> {
    Metadata::read(TARGET_PLATFORM).into_compiled_packages()
}

/// System packages listed in `deploy/system.toml`.
fn listed_system_packages() -> Vec<String> {
    let document: toml_edit::DocumentMut = SYSTEM_FILE.parse().expect("valid TOML");
    let list = document["packages"].as_array().expect("`packages` as a list");
    list.iter().map(|entry| entry.as_str().expect("a package name").to_owned()).collect()
}

#[test]
fn every_build_script_is_reviewed_and_no_review_is_outdated() {
    let reviewed: BTreeMap<&str, &str> =
        REVIEWED_SCRIPTS.iter().map(|script| (script.dependency, script.finding)).collect();
    let packages = compiled_packages();
    let with_script: BTreeSet<&str> = packages
        .iter()
        .filter(|package| package.has_build_script())
        .map(|package| package.name.as_str())
        .collect();
    let unreviewed: Vec<&&str> = with_script.iter().filter(|name| !reviewed.contains_key(**name)).collect();
    assert!(unreviewed.is_empty(), "review and list the build scripts of {unreviewed:?}");
    let outdated: Vec<_> = reviewed.iter().filter(|(name, _)| !with_script.contains(*name)).collect();
    assert!(outdated.is_empty(), "reviews without a build script: {outdated:?}");
}

#[test]
fn no_dependency_links_a_system_library() {
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
    assert!(helpers.is_empty(), "list the system packages that the users of {helpers:?} need");
}

#[test]
fn the_list_has_what_the_steps_and_build_scripts_need() {
    let for_steps = STEP_PACKAGES.iter().map(|(name, _)| *name);
    let for_scripts = REVIEWED_SCRIPTS.iter().flat_map(|script| script.system_packages.iter().copied());
    let needed: BTreeSet<&str> = for_steps.chain(for_scripts).collect();
    let listed = listed_system_packages();
    assert_eq!(
        listed,
        needed.into_iter().collect::<Vec<_>>(),
        "the list must be sorted and without duplicates"
    );
}
