//! Detection of JSON numbers that parsing may round.

/// Number of significant decimal digits that a 64-bit floating-point number represents exactly.
const EXACT_DIGITS: usize = f64::DIGITS as usize;

/// Whether a number in the JSON text has more than [`EXACT_DIGITS`] digits or an exponent. Parsing may round such a
/// number to the same value as a different text.
pub(crate) fn may_round_numbers(json: &[u8]) -> bool {
    let mut scanner = NumberScanner::default();
    json.iter().any(|byte| scanner.may_round_at(*byte))
}

/// Scans JSON byte by byte.
#[derive(Default)]
struct NumberScanner {
    is_in_string: bool,
    is_after_backslash: bool,
    /// Number of digits of the current number that were scanned.
    digit_count: usize,
}

impl NumberScanner {
    fn may_round_at(&mut self, byte: u8) -> bool {
        if self.is_in_string {
            self.scan_string_byte(byte);
            return false;
        }
        match byte {
            b'0'..=b'9' => self.digit_count += 1,
            b'.' => {}
            b'e' | b'E' if self.digit_count > 0 => return true,
            _ => self.digit_count = 0,
        }
        self.is_in_string = byte == b'"';
        self.digit_count > EXACT_DIGITS
    }

    fn scan_string_byte(&mut self, byte: u8) {
        let is_escaped = std::mem::take(&mut self.is_after_backslash);
        match byte {
            b'\\' => self.is_after_backslash = !is_escaped,
            b'"' => self.is_in_string = is_escaped,
            _ => {}
        }
    }
}
