//! The handling of known failing tests in CI: `.ci/run` with a stand-in for cargo, in a temporary folder.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Stand-in for cargo: records its arguments, and fails for a single test whose name begins with `red`.
const CARGO_SCRIPT: &str = "#!/bin/sh\n\
    echo \"$@\" >> calls\n\
    case \"$*\" in *'-- --exact red'*) exit 101;; esac\n";

/// Result of one run of the script.
struct RunResult {
    succeeded: bool,
    stdout: String,
    /// Arguments of the calls of cargo, one call a line.
    cargo_calls: String,
}

/// Runs the script in an empty folder of this name, with this `KNOWN-RED.txt` if one is given.
fn run_with(folder: &str, known_red: Option<&str>) -> RunResult {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("ci_script").join(folder);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    let path_of = |name: &str| folder.join(name);
    for name in [".ci", "bin", "crates", "tests"] {
        fs::create_dir(path_of(name)).expect("a folder");
    }
    write_program(&path_of("bin/cargo"), CARGO_SCRIPT);
    write_program(&path_of(".ci/run"), include_str!("../.ci/run"));
    let tests = "fn red_one() {}\nfn red_two() {}\nfn red_three() {}\nfn red_four() {}\nfn green() {}\nfn twice() {}\n";
    fs::write(path_of("tests/a.rs"), tests).expect("a file");
    fs::write(path_of("crates/b.rs"), "fn twice() {}\n").expect("a file");
    if let Some(known_red) = known_red {
        fs::write(path_of("KNOWN-RED.txt"), known_red).expect("a file");
    }
    let path = format!("{}:/usr/bin:/bin", path_of("bin").display());
    let run = Command::new("bash").arg(path_of(".ci/run")).env("PATH", path).output();
    let output: Output = run.expect("run the script with bash");
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    let cargo_calls = fs::read_to_string(path_of("calls")).unwrap_or_default();
    RunResult { succeeded: output.status.success(), stdout, cargo_calls }
}

fn write_program(path: &Path, text: &str) {
    fs::write(path, text).expect("a file");
    fs::set_permissions(path, fs::Permissions::from_mode(0o755)).expect("make the file executable");
}

#[test]
fn without_a_list_all_tests_run() {
    let result = run_with("none", None);
    assert!(result.succeeded, "{}", result.stdout);
    assert!(result.cargo_calls.ends_with("test --locked --workspace\n"), "{}", result.cargo_calls);
}

#[test]
fn only_listed_tests_are_skipped_and_their_entries_printed() {
    let entries = [
        "p a red_one | cargo test, seed 1 | seen | issue 1",
        "p a red_two | cargo test, seed 2 | seen | issue 2",
        "p a red_three | cargo test, seed 3 | seen | issue 3",
        "p a red_four | cargo test, seed 4 | seen | issue 4",
    ];
    let result = run_with("listed", Some(&format!("{}\n", entries.join("\n"))));
    assert!(result.succeeded, "{}", result.stdout);
    let skips = "--exact --skip red_one --skip red_two --skip red_three --skip red_four\n";
    assert!(
        result.cargo_calls.contains(&format!("test --locked --workspace -- {skips}")),
        "{}",
        result.cargo_calls
    );
    for entry in entries {
        assert!(result.stdout.contains(&format!("known red: {entry}")), "{}", result.stdout);
    }
}

#[test]
fn a_list_with_passing_ambiguous_or_malformed_entries_fails() {
    for (folder, known_red, message) in [
        ("passes", "p a green | command | seen | issue\n", "but it passes: green"),
        ("several", "p a twice | command | seen | issue\n", "not the name of just one test: twice"),
        ("absent", "p a absent | command | seen | issue\n", "not the name of just one test: absent"),
        ("no_command", "p a red_one | seen | issue\n", "not an entry of KNOWN-RED.txt"),
        ("empty_line", "p a red_one | command | seen | issue\n\n", "not an entry of KNOWN-RED.txt"),
        ("no_test", "p a | command | seen | issue\n", "not an entry of KNOWN-RED.txt"),
    ] {
        let result = run_with(folder, Some(known_red));
        assert!(!result.succeeded, "{folder}");
        assert!(result.stdout.contains(message), "{folder}: {}", result.stdout);
    }
}
