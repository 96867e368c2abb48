//! Reading JSON values leniently in type: whole numbers may be written as floats, null is as good as absent, figures
//! beyond a field's range are taken as its largest value. Lists are read up to a bound.

use std::fmt;
use std::marker::PhantomData;

use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Unexpected, Visitor};

use crate::message::{Engine, Limits, Model, Route, Service, Split, Tenant};
use crate::validate::{MAX_KEYS_OF_TENANT, MAX_ROUTES, MAX_SERVICES, MAX_SPLIT, MAX_TENANTS};

/// A number as JSON has it, from 0 on.
#[derive(Clone, Copy)]
enum Number {
    Whole(u64),
    Float(f64),
}

impl Number {
    /// The whole number, fractions rounded up so that only 0 itself reads as 0.
    fn rounded(self) -> u64 {
        match self {
            Number::Whole(number) => number,
            Number::Float(number) => number.ceil() as u64,
        }
    }

    fn float(self) -> f64 {
        match self {
            Number::Whole(number) => number as f64,
            Number::Float(number) => number,
        }
    }
}

struct NumberVisitor;

impl Visitor<'_> for NumberVisitor {
    type Value = Option<Number>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a number from 0 on")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Self::Value, E> {
        Ok(Some(Number::Whole(number)))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Self::Value, E> {
        match u64::try_from(number) {
            Ok(number) => Ok(Some(Number::Whole(number))),
            Err(_) => Err(E::invalid_value(Unexpected::Signed(number), &self)),
        }
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Self::Value, E> {
        if number >= 0.0 {
            Ok(Some(Number::Float(number)))
        } else {
            Err(E::invalid_value(Unexpected::Float(number), &self))
        }
    }

    fn visit_unit<E: Error>(self) -> Result<Self::Value, E> {
        Ok(None)
    }
}

fn any_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Number>, D::Error> {
    deserializer.deserialize_any(NumberVisitor)
}

fn narrowed(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// A number that must be exact.
pub(crate) fn generation<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    match any_number(deserializer)? {
        Some(Number::Whole(number)) => Ok(number),
        Some(Number::Float(number)) if number.fract() == 0.0 && number < u64::MAX as f64 => Ok(number as u64),
        Some(Number::Float(number)) => {
            Err(D::Error::invalid_value(Unexpected::Float(number), &"a whole number"))
        }
        None => Err(D::Error::invalid_type(Unexpected::Unit, &"a whole number")),
    }
}

/// A whole number; 0 when absent.
pub(crate) fn whole<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    Ok(any_number(deserializer)?.map_or(0, Number::rounded))
}

/// A whole number, or none.
pub(crate) fn optional_whole<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    Ok(any_number(deserializer)?.map(Number::rounded))
}

/// A whole number of 32 bits; 0 when absent.
pub(crate) fn count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    Ok(narrowed(whole(deserializer)?))
}

/// A whole number of 32 bits, or none.
pub(crate) fn optional_count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u32>, D::Error> {
    Ok(optional_whole(deserializer)?.map(narrowed))
}

/// Any number from 0 on; 0 when absent.
pub(crate) fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    Ok(any_number(deserializer)?.map_or(0.0, Number::float))
}

/// Any number from 0 on, or none.
pub(crate) fn optional_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    Ok(any_number(deserializer)?.map(Number::float))
}

/// A value of its type, its default when null.
pub(crate) fn value<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(Option::<T>::deserialize(deserializer)?.unwrap_or_default())
}

pub(crate) fn routes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Route>, D::Error> {
    deserializer.deserialize_seq(ListVisitor::new(MAX_ROUTES)).map(unwrapped)
}

pub(crate) fn services<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Service>, D::Error> {
    deserializer.deserialize_seq(ListVisitor::new(MAX_SERVICES)).map(unwrapped)
}

pub(crate) fn tenants<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Tenant>, D::Error> {
    deserializer.deserialize_any(ListVisitor::new(MAX_TENANTS)).map(unwrapped)
}

pub(crate) fn splits<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Split>, D::Error> {
    deserializer.deserialize_any(ListVisitor::new(MAX_SPLIT)).map(unwrapped)
}

pub(crate) fn models<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Model>, D::Error> {
    deserializer.deserialize_any(ListVisitor::new(MAX_SERVICES)).map(unwrapped)
}

pub(crate) fn keys<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    deserializer.deserialize_any(ListVisitor::new(MAX_KEYS_OF_TENANT))
}

pub(crate) fn limits<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Limits>, D::Error> {
    Ok(Option::<Object<Limits>>::deserialize(deserializer)?.map(|object| object.0))
}

pub(crate) fn engine<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Engine>, D::Error> {
    Ok(Option::<Object<Engine>>::deserialize(deserializer)?.map(|object| object.0))
}

fn unwrapped<T>(list: Vec<Object<T>>) -> Vec<T> {
    list.into_iter().map(|object| object.0).collect()
}

/// A value that must be an object: the derived readings alone would take a list of its fields as well.
pub(crate) struct Object<T>(pub(crate) T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = Object<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Self::Value, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map)).map(Object)
    }
}

/// Reads a list, keeping one element more than its bound at most: enough for the check to see that it is too long.
struct ListVisitor<T> {
    bound: usize,
    element: PhantomData<T>,
}

impl<T> ListVisitor<T> {
    fn new(bound: usize) -> ListVisitor<T> {
        ListVisitor { bound, element: PhantomData }
    }
}

impl<'de, T: Deserialize<'de>> Visitor<'de> for ListVisitor<T> {
    type Value = Vec<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a list")
    }

    fn visit_unit<E: Error>(self) -> Result<Self::Value, E> {
        Ok(Vec::new())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Self::Value, A::Error> {
        let mut list = Vec::new();
        while list.len() <= self.bound {
            match elements.next_element()? {
                Some(element) => list.push(element),
                None => return Ok(list),
            }
        }
        while elements.next_element::<IgnoredAny>()?.is_some() {}
        Ok(list)
    }
}
