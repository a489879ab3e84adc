//! The configuration's form on the wire. Every field may be missing here: which are needed, the check says.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::de::value::MapAccessDeserializer;
use serde::de::{DeserializeOwned, Deserializer, Error, MapAccess, Visitor};
use serde_json::{Map, Value};

use crate::fields::{CAPS, REVISION, ROUTES, SERVICES, TENANTS};
use crate::findings::{Fault, Findings};
use crate::model::RouteKind;

/// What stands before a position in the text of an error.
const POSITION: &str = " at line ";

/// The whole document.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct WireDocument {
    pub revision: Option<u64>,
    pub routes: Option<Vec<Object<WireRoute>>>,
    pub backends: Option<Vec<Object<WireService>>>,
    pub caps: Option<Object<WireCaps>>,
    pub customers: Option<Vec<Object<WireTenant>>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct WireRoute {
    pub label: Option<String>,
    pub hostname: Option<String>,
    pub path_start: Option<String>,
    pub sort: Option<Sort>,
    pub time_limit_ms: Option<Whole>,
    pub target_ms: Option<Whole>,
    pub rank: Option<Whole>,
    pub backend: Option<String>,
    pub shares: Option<Vec<Object<WireShare>>>,
    pub tries: Option<Whole>,
    pub public: Option<bool>,
    pub pinned: Option<bool>,
    pub pick_up: Option<bool>,
    #[serde(rename = "gap_aim_ms")]
    pub gap_aim_ms: Option<Whole>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct WireShare {
    pub backend: Option<String>,
    pub share: Option<f64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct WireService {
    pub label: Option<String>,
    pub check_path: Option<String>,
    pub conn_limit: Option<Whole>,
    pub runtime: Option<Object<WireRuntime>>,
    pub cache_store: Option<String>,
    pub area: Option<String>,
    pub cache_tokens: Option<Whole>,
    pub max_calls: Option<Whole>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct WireRuntime {
    pub capacity: Option<Whole>,
    pub cache_tokens: Option<Whole>,
    pub cache_token_bytes: Option<Whole>,
    pub bandwidth_mbps: Option<f64>,
    pub max_calls: Option<Whole>,
    pub llms: Option<Vec<Object<WireModel>>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct WireModel {
    pub label: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct WireCaps {
    pub head_size_bytes: Option<Whole>,
    pub body_size_bytes: Option<Whole>,
    pub head_wait_ms: Option<Whole>,
    pub quiet_ms: Option<Whole>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct WireTenant {
    pub label: Option<String>,
    pub api_keys: Option<Vec<String>>,
    pub rank: Option<Whole>,
    pub isolated: Option<bool>,
}

/// A value that must be a JSON object; by itself, a derived reader takes a list of the fields' values as
/// well.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Object<T>(pub T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = Object<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, fields: A) -> Result<Object<T>, A::Error> {
        T::deserialize(MapAccessDeserializer::new(fields)).map(Object)
    }
}

/// A route's kind. What isn't known to be repeatable is run once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sort(pub RouteKind);

impl<'de> Deserialize<'de> for Sort {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(SortVisitor)
    }
}

struct SortVisitor;

impl Visitor<'_> for SortVisitor {
    type Value = Sort;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a string")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Sort, E> {
        let kind = match text {
            "harmless" => RouteKind::Harmless,
            "stream" => RouteKind::Stream,
            _ => RouteKind::Risky,
        };
        Ok(Sort(kind))
    }
}

/// A number from 0 up; fractions are rounded up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Whole(pub u64);

impl Whole {
    /// The number, or the largest that fits.
    pub(crate) fn to_u32(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }

    /// The number, or the largest that fits.
    pub(crate) fn to_u8(self) -> u8 {
        u8::try_from(self.0).unwrap_or(u8::MAX)
    }
}

impl<'de> Deserialize<'de> for Whole {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_u64(WholeVisitor)
    }
}

struct WholeVisitor;

impl Visitor<'_> for WholeVisitor {
    type Value = Whole;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number from 0 up")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Whole, E> {
        Ok(Whole(number))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Whole, E> {
        let negative = |_| E::invalid_value(serde::de::Unexpected::Signed(number), &self);
        u64::try_from(number).map(Whole).map_err(negative)
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Whole, E> {
        if number < 0.0 {
            return Err(E::invalid_value(serde::de::Unexpected::Float(number), &self));
        }
        Ok(Whole(number.ceil() as u64))
    }
}

impl WireDocument {
    /// Reads a document. Where its values have wrong types, reads it again piece by piece for all their
    /// places.
    pub(crate) fn read(bytes: &[u8]) -> Result<Self, Findings> {
        // The reader passes over the text of unknown fields unread.
        let text = std::str::from_utf8(bytes).map_err(|error| unreadable(&error))?;
        let document: Result<Object<WireDocument>, _> = serde_json::from_str(text);
        document.map(|Object(document)| document).map_err(|error| match error.is_data() {
            true => faults_of(text, &error),
            false => unreadable(&error),
        })
    }
}

/// The places where a document that can't be read has values of a wrong type: the first of each item.
fn faults_of(text: &str, error: &serde_json::Error) -> Findings {
    let Ok(Value::Object(fields)) = serde_json::from_str(text) else { return unreadable(error) };
    let mut reader = FaultReader { fields, findings: Findings::default() };
    reader.field::<Option<u64>>(REVISION);
    reader.items::<WireRoute>(ROUTES);
    reader.items::<WireService>(SERVICES);
    reader.field::<Option<Object<WireCaps>>>(CAPS);
    reader.items::<WireTenant>(TENANTS);
    if reader.findings.is_empty() { unreadable(error) } else { reader.findings }
}

/// The report of a body that is no JSON document of this form.
pub(crate) fn unreadable(error: &dyn fmt::Display) -> Findings {
    Findings::one("", Fault::Unreadable { message: error.to_string() })
}

struct FaultReader {
    fields: Map<String, Value>,
    findings: Findings,
}

impl FaultReader {
    fn items<T: DeserializeOwned>(&mut self, list: &str) {
        let Some(Value::Array(items)) = self.fields.get(list) else {
            self.field::<Option<Vec<Object<T>>>>(list);
            return;
        };
        for (index, item) in items.iter().enumerate() {
            note_fault::<Object<T>>(&mut self.findings, &format!("{list}[{index}]"), item);
        }
    }

    fn field<T: DeserializeOwned>(&mut self, name: &str) {
        if let Some(value) = self.fields.get(name) {
            note_fault::<T>(&mut self.findings, name, value);
        }
    }
}

fn note_fault<T: DeserializeOwned>(findings: &mut Findings, place: &str, value: &Value) {
    let Err(error) = serde_path_to_error::deserialize::<_, T>(value) else { return };
    let place = match error.path().iter().next() {
        None => place.to_owned(),
        Some(serde_path_to_error::Segment::Seq { .. }) => format!("{place}{}", error.path()),
        Some(_) => format!("{place}.{}", error.path()),
    };
    findings.add(place, wrong_value(error.inner()));
}

/// The fault of a value that was read by itself. The line and column in the error's text count from the
/// value's own start, so they are left out.
pub(crate) fn wrong_value(error: &serde_json::Error) -> Fault {
    let text = error.to_string();
    let message = text.split(POSITION).next().unwrap_or_default().to_owned();
    Fault::WrongValue { message }
}
