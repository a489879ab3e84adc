//! The minimum Rust version of the programs of the system, compared with their sources and dependencies: the target
//! machines may have Debian's 1.85, which is older than the toolchain of CI.

#[path = "support/cargo_metadata.rs"]
mod cargo_metadata;
#[path = "support/source_files.rs"]
mod source_files;

use std::fs;

use cargo_metadata::{Metadata, Package, TARGET_PLATFORM};
use source_files::sources_below;

/// Programs that `deploy/system.toml` builds.
const PROGRAMS: [&str; 3] = ["tulipridge-proxy", "tulipridge-agent", "tulipridge-control-plane"];

/// Version of Debian 12's `rustc-web` without security updates.
const MINIMUM_VERSION: (u32, u32) = (1, 85);

fn needed_packages() -> Vec<Package> {
    Metadata::read(TARGET_PLATFORM).into_packages_needed_by(&PROGRAMS)
}

/// Parses the major and minor version.
fn version(text: &str) -> (u32, u32) {
    let mut parts = text.split('.').map(|part| part.parse().expect("a number"));
    (parts.next().unwrap_or(0), parts.next().unwrap_or(0))
}

/// Conditions of `if` and `while`, each joined into one line, with the number of its first line.
fn conditions(source: &str) -> Vec<(usize, String)> {
    let mut found: Vec<(usize, String)> = Vec::new();
    let mut is_open = false;
    for (index, line) in source.lines().map(str::trim).enumerate() {
        let is_start = ["if ", "while ", "} else if "].iter().any(|keyword| line.starts_with(keyword));
        if is_start {
            found.push((index + 1, String::new()));
            is_open = true;
        }
        if is_open {
            let (_, condition) = found.last_mut().expect("a started condition");
            condition.push_str(line);
            condition.push(' ');
            is_open = !line.ends_with('{') && !line.ends_with('}');
        }
    }
    found
}

/// Whether a condition joins a pattern with another condition, which needs Rust 1.88.
fn is_let_chain(condition: &str) -> bool {
    let mut depth = 0_i32;
    let mut outside = String::new();
    for character in condition.chars() {
        match character {
            '(' | '[' => depth += 1,
            ')' | ']' => depth -= 1,
            _ if depth == 0 => outside.push(character),
            _ => {}
        }
    }
    outside.contains("let ") && outside.contains("&&")
}

#[test]
fn let_chains_are_found_and_other_conditions_are_not() {
    let source = "if a\n    && let Some(b) = c()\n{\n}\nif let Some(b) = c(d && e) {\n}\nif a && b {\n}\n\
                  } else if let Some(b) = c && d {\n}\nwhile a && let Ok(b) = c {\n}\n";
    let chains: Vec<usize> =
        conditions(source).iter().filter(|(_, text)| is_let_chain(text)).map(|(line, _)| *line).collect();
    assert_eq!(chains, [1, 9, 11]);
}

#[test]
fn each_package_of_the_programs_states_the_minimum_version() {
    for package in needed_packages().iter().filter(|package| package.is_in_workspace()) {
        let stated = package.rust_version.as_deref().map(version);
        assert_eq!(stated, Some(MINIMUM_VERSION), "{}", package.name);
    }
}

#[test]
fn no_dependency_of_the_programs_needs_a_newer_toolchain() {
    let packages = needed_packages();
    let newer: Vec<(&str, &str)> = packages
        .iter()
        .filter_map(|package| Some((package.name.as_str(), package.rust_version.as_deref()?)))
        .filter(|(_, stated)| version(stated) > MINIMUM_VERSION)
        .collect();
    assert!(newer.is_empty(), "{newer:?}");
}

#[test]
fn no_source_of_the_programs_has_a_let_chain() {
    let mut sources = Vec::new();
    for package in needed_packages().iter().filter(|package| package.is_in_workspace()) {
        sources_below(&package.folder(), &mut sources);
    }
    let mut chains = Vec::new();
    for path in &sources {
        let text = fs::read_to_string(path).expect("a source is UTF-8");
        let found = conditions(&text).into_iter().filter(|(_, condition)| is_let_chain(condition));
        chains.extend(found.map(|(line, _)| format!("{}:{line}", path.display())));
    }
    assert!(chains.is_empty(), "{chains:#?}");
}
