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
    in_string: bool,
    after_backslash: bool,
    /// Number of digits of the current number that were scanned.
    digits: usize,
}

impl NumberScanner {
    fn may_round_at(&mut self, byte: u8) -> bool {
        if self.in_string {
            self.read_in_string(byte);
            return false;
        }
        match byte {
            b'0'..=b'9' => self.digits += 1,
            b'.' => {}
            b'e' | b'E' if self.digits > 0 => return true,
            _ => self.digits = 0,
        }
        self.in_string = byte == b'"';
        self.digits > EXACT_DIGITS
    }

    fn read_in_string(&mut self, byte: u8) {
        let is_escaped = std::mem::take(&mut self.after_backslash);
        match byte {
            b'\\' => self.after_backslash = !is_escaped,
            b'"' => self.in_string = is_escaped,
            _ => {}
        }
    }
}
