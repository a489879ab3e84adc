//! Binary encoding: round trip, and errors for damaged bytes.

use rstest::rstest;
use tulipridge_configuration::encoding::{DecodeError, Format, decode, encode};

const FORMAT: Format = Format(*b"TST1");

fn sample_bytes() -> Vec<u8> {
    encode(FORMAT, &vec![1_u64, 2, 3])
}

#[test]
fn a_value_is_decoded_as_it_was_encoded() {
    assert_eq!(decode::<Vec<u64>>(FORMAT, &sample_bytes()).expect("the bytes are complete"), [1, 2, 3]);
}

#[rstest]
#[case::empty(b"")]
#[case::truncated_format(b"TST")]
#[case::another_version(&encode(Format(*b"TST2"), &vec![1_u64]))]
#[case::text(b"{\"revision\":1}")]
fn bytes_of_another_format_are_an_error(#[case] bytes: &[u8]) {
    let error = decode::<Vec<u64>>(FORMAT, bytes).expect_err("the bytes are of another format");
    assert!(matches!(error, DecodeError::FormatMismatch { expected: FORMAT }), "{error}");
}

#[test]
fn truncated_bytes_are_an_error() {
    let bytes = sample_bytes();
    for length in 0..bytes.len() {
        assert!(decode::<Vec<u64>>(FORMAT, &bytes[..length]).is_err(), "truncated at {length}");
    }
}

#[test]
fn each_damaged_byte_is_an_error() {
    for offset in 0..sample_bytes().len() {
        let mut bytes = sample_bytes();
        bytes[offset] ^= 0x10;
        assert!(decode::<Vec<u64>>(FORMAT, &bytes).is_err(), "damaged at {offset}");
    }
}

#[test]
fn trailing_bytes_are_an_error() {
    let bytes = [sample_bytes(), vec![0]].concat();
    assert!(matches!(decode::<Vec<u64>>(FORMAT, &bytes), Err(DecodeError::ChecksumMismatch)));
}

#[test]
fn complete_bytes_of_another_type_are_an_error() {
    let bytes = encode(FORMAT, &"text".to_owned());
    assert!(matches!(decode::<Vec<u64>>(FORMAT, &bytes), Err(DecodeError::Malformed { .. })));
}
