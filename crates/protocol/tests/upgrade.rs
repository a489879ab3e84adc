//! Programs of two versions beside each other, as while machines are replaced one after the other.

use musli::{Decode, Encode, wire};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::ModelWeights;

/// The line of the table of weights before it said which revisions have expired.
#[derive(Debug, PartialEq, Encode, Decode)]
struct EarlierModelWeights {
    model: String,
    named: u64,
    least: u64,
}

#[test]
fn an_earlier_line_is_read_without_what_it_lacks() {
    let earlier = EarlierModelWeights { model: "m".to_owned(), named: 3, least: 2 };
    let bytes = wire::to_vec(&earlier).expect("it is encoded");
    let line: ModelWeights = wire::from_slice(&bytes).expect("it is read");
    assert_eq!(
        line,
        ModelWeights {
            model: "m".to_owned(),
            named: WeightsRevision(3),
            least: WeightsRevision(2),
            expired: WeightsRevision(0)
        }
    );
}

#[test]
fn an_earlier_program_passes_over_what_it_does_not_know() {
    let line = ModelWeights {
        model: "m".to_owned(),
        named: WeightsRevision(3),
        least: WeightsRevision(2),
        expired: WeightsRevision(1),
    };
    let bytes = wire::to_vec(&line).expect("it is encoded");
    let earlier: EarlierModelWeights = wire::from_slice(&bytes).expect("it is read");
    assert_eq!(earlier, EarlierModelWeights { model: "m".to_owned(), named: 3, least: 2 });
}
