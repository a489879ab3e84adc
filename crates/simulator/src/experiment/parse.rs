//! Parses an experiment together with its base files.

use std::fs;
use std::path::Path;

use tulipridge::settings::{SettingsError, parse_hcl_over};

use super::Experiment;

impl Experiment {
    /// Parses an experiment. `path` appears in errors, and base files are read from its folder.
    ///
    /// # Errors
    ///
    /// Returns a syntax error, an unknown key or an invalid value with file, position and key; or a base file that can't
    /// be read or that overrides itself.
    pub fn parse(path: &str, text: &str) -> Result<Experiment, SettingsError> {
        let mut files = vec![(path.to_owned(), text.to_owned())];
        while let Some(from) = files.last().and_then(|(_, text)| base_file_of(text)) {
            let (path, _) = &files[files.len() - 1];
            let error =
                |problem| SettingsError { file: path.clone(), position: None, key: "from".into(), problem };
            let base = Path::new(path).with_file_name(&from).display().to_string();
            if files.iter().any(|(known, _)| *known == base) {
                return Err(error(format!("{from} is a base file of itself")));
            }
            let text = fs::read_to_string(&base).map_err(|e| error(format!("{base}: {e}")))?;
            files.push((base, text));
        }
        let files: Vec<_> = files.iter().rev().map(|(path, text)| (path.as_str(), text.as_str())).collect();
        parse_hcl_over(&files, Experiment::check)
    }
}

/// Returns the base file named in `text`; `None` after a syntax error, which is reported when all files are parsed.
fn base_file_of(text: &str) -> Option<String> {
    let value: serde_json::Value = hcl::from_str(text).ok()?;
    value.get("from")?.as_str().map(str::to_owned)
}
