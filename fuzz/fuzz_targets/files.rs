//! Files that operators write: settings and conformance cases.
#![no_main]

use libfuzzer_sys::fuzz_target;
use tulipridge::conformance::case;
use tulipridge::settings::Settings;

fuzz_target!(|input: &[u8]| {
    if let Ok(text) = std::str::from_utf8(input) {
        let _ = case::parse("f", text);
        if let Err(error) = Settings::parse("f", text) {
            assert!(!error.to_string().is_empty());
        }
    }
});
