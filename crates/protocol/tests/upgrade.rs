//! Compatibility between programs of two versions, which run side by side during a rolling upgrade.

use musli::{Decode, Encode, wire};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::ModelWeights;

/// [`ModelWeights`] as earlier versions declared it, without `expired_below`.
#[derive(Debug, PartialEq, Encode, Decode)]
struct EarlierModelWeights {
    model: String,
    named: u64,
    least: u64,
}

#[test]
fn a_field_missing_from_an_earlier_version_is_zero() {
    let earlier = EarlierModelWeights { model: "m".to_owned(), named: 3, least: 2 };
    let bytes = wire::to_vec(&earlier).expect("the entry is encodable");
    let decoded: ModelWeights = wire::from_slice(&bytes).expect("the entry is decodable");
    assert_eq!(
        decoded,
        ModelWeights {
            model: "m".to_owned(),
            target: WeightsRevision(3),
            minimum: WeightsRevision(2),
            expired_below: WeightsRevision(0)
        }
    );
}

#[test]
fn an_earlier_version_ignores_an_unknown_field() {
    let current = ModelWeights {
        model: "m".to_owned(),
        target: WeightsRevision(3),
        minimum: WeightsRevision(2),
        expired_below: WeightsRevision(1),
    };
    let bytes = wire::to_vec(&current).expect("the entry is encodable");
    let earlier: EarlierModelWeights = wire::from_slice(&bytes).expect("the entry is decodable");
    assert_eq!(earlier, EarlierModelWeights { model: "m".to_owned(), named: 3, least: 2 });
}
