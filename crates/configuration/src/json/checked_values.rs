//! JSON values whose validation differs from that of derived deserializers.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserializer, Error, MapAccess, Unexpected, Visitor};

use crate::model::RouteKind;

/// A value that must be a JSON object. A derived deserializer alone also accepts an array of the fields' values.
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

/// A route's kind. An unknown name is deserialized as [`RouteKind::NonIdempotent`], whose requests run at most once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JsonRouteKind(pub RouteKind);

impl<'de> Deserialize<'de> for JsonRouteKind {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(RouteKindVisitor)
    }
}

struct RouteKindVisitor;

impl Visitor<'_> for RouteKindVisitor {
    type Value = JsonRouteKind;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a string")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<JsonRouteKind, E> {
        let kind = match text {
            "harmless" => RouteKind::Idempotent,
            "stream" => RouteKind::Stream,
            _ => RouteKind::NonIdempotent,
        };
        Ok(JsonRouteKind(kind))
    }
}

/// A number that is at least 0. Fractions are rounded up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct UnsignedNumber(pub u64);

impl UnsignedNumber {
    /// The number as `u32`; greater numbers become `u32::MAX`.
    pub(crate) fn saturating_to_u32(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }

    /// The number as `u8`; greater numbers become `u8::MAX`.
    pub(crate) fn saturating_to_u8(self) -> u8 {
        u8::try_from(self.0).unwrap_or(u8::MAX)
    }
}

impl<'de> Deserialize<'de> for UnsignedNumber {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_u64(UnsignedNumberVisitor)
    }
}

struct UnsignedNumberVisitor;

impl Visitor<'_> for UnsignedNumberVisitor {
    type Value = UnsignedNumber;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number from 0 up")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<UnsignedNumber, E> {
        Ok(UnsignedNumber(number))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<UnsignedNumber, E> {
        let negative_error = |_| E::invalid_value(Unexpected::Signed(number), &self);
        u64::try_from(number).map(UnsignedNumber).map_err(negative_error)
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<UnsignedNumber, E> {
        if number < 0.0 {
            return Err(E::invalid_value(Unexpected::Float(number), &self));
        }
        Ok(UnsignedNumber(number.ceil() as u64))
    }
}
