//! Applies mutations to a clone of the repository, one at a time, and runs the test of each.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};
use std::time::Instant;

use serde::Serialize;
use snafu::{ResultExt, ensure};

use super::list::Mutation;
use crate::error::{BuildSnafu, IoSnafu, Result};

/// Part of libtest's output if a test of the binary failed.
const FAILED_MARKER: &str = "test result: FAILED";
/// Part of libtest's output if no test of the binary failed.
const PASSED_MARKER: &str = " passed; 0 failed";

/// The outcome of a mutation's test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MutationOutcome {
    /// The test failed, so it detects that the mechanism is missing.
    Detected,
    /// The test passed although the mechanism was removed.
    Undetected,
    /// The mutated sources can't be built, or no test was run.
    Invalid,
}

/// The result of one mutation.
#[derive(Clone, Debug, Serialize)]
pub struct MutationResult {
    /// The mutation's name.
    pub id: String,
    /// The name of the test function.
    pub test: String,
    /// The outcome of the test.
    pub outcome: MutationOutcome,
    /// Time for building and running the test, in seconds.
    pub seconds: f64,
    /// The last lines of cargo's standard error if the outcome is invalid.
    pub output: Option<String>,
}

/// Runs mutations in `clone`, a clone of the repository that is used for nothing else, and passes each result to
/// `report`. Each source file is restored after its mutation.
///
/// # Errors
/// If a file can't be read or written, if the text of a mutation does not occur in its file exactly once, or if cargo
/// can't be started.
pub fn run(clone: &Path, mutations: &[Mutation], report: impl Fn(&MutationResult)) -> Result<()> {
    for mutation in mutations {
        report(&run_one(clone, mutation)?);
    }
    Ok(())
}

fn run_one(clone: &Path, mutation: &Mutation) -> Result<MutationResult> {
    let path = clone.join(&mutation.file);
    let describe = |verb: &str| format!("{verb} {}", path.display());
    let original = fs::read_to_string(&path).context(IoSnafu { action: describe("read") })?;
    let count = original.matches(&mutation.find).count();
    let reason = || {
        format!(
            "{}: the text to replace occurs {count} times instead of once in {}",
            mutation.id,
            path.display()
        )
    };
    ensure!(count == 1, BuildSnafu { reason: reason() });
    let mutated = original.replacen(&mutation.find, &mutation.replace, 1);
    fs::write(&path, mutated).context(IoSnafu { action: describe("write") })?;
    let started_at = Instant::now();
    let output = run_test(clone, mutation);
    fs::write(&path, original).context(IoSnafu { action: describe("restore") })?;
    let output = output?;
    let outcome = outcome_of(&output);
    Ok(MutationResult {
        id: mutation.id.clone(),
        test: mutation.test.function.clone(),
        outcome,
        seconds: started_at.elapsed().as_secs_f64(),
        output: (outcome == MutationOutcome::Invalid).then(|| last_lines(&output.stderr)),
    })
}

fn run_test(clone: &Path, mutation: &Mutation) -> Result<Output> {
    let test = &mutation.test;
    // The name is a filter: a function with cases is a module, and its tests have the name as a prefix.
    Command::new("cargo")
        .args(["test", "--locked", "-p", &test.package_name(), "--test", &test.target, &test.function])
        .current_dir(clone)
        .output()
        .context(IoSnafu { action: "start cargo" })
}

fn outcome_of(output: &Output) -> MutationOutcome {
    let text = String::from_utf8_lossy(&output.stdout);
    let is_run = text.contains(PASSED_MARKER) && !text.contains("ok. 0 passed");
    match output.status.success() {
        true if is_run => MutationOutcome::Undetected,
        false if text.contains(FAILED_MARKER) => MutationOutcome::Detected,
        _ => MutationOutcome::Invalid,
    }
}

/// The last lines of an output, as text.
fn last_lines(bytes: &[u8]) -> String {
    const LINE_COUNT: usize = 12;
    let text = String::from_utf8_lossy(bytes);
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LINE_COUNT)..].join("\n")
}
