//! A number that tells documents apart by what they say, however they are encoded.
//!
//! White space, the order of an object's members, and the ways of writing one string or one number make no difference;
//! any other change does. The document is read as a stream: nothing of it is kept.

use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};

/// FNV-1a of 128 bits: it tells apart what operators send, and nobody gains by a collision.
const OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

/// The fingerprint of a JSON document; nothing if it is none.
pub fn fingerprint(document: &[u8]) -> Option<u128> {
    serde_json::from_slice::<Fingerprint>(document).ok().map(|fingerprint| fingerprint.0)
}

/// What a value is; its first byte keeps values of different kinds apart.
#[derive(Clone, Copy)]
enum Kind {
    Null = 0,
    Boolean = 1,
    Number = 2,
    Text = 3,
    List = 4,
    Object = 5,
}

#[derive(Clone, Copy)]
struct Fingerprint(u128);

impl Fingerprint {
    fn of(kind: Kind, bytes: &[u8]) -> Fingerprint {
        Fingerprint::empty(kind).followed_by(bytes)
    }

    fn empty(kind: Kind) -> Fingerprint {
        Fingerprint(OFFSET).followed_by(&[kind as u8])
    }

    fn followed_by(self, bytes: &[u8]) -> Fingerprint {
        let mix = |hash: u128, byte: &u8| (hash ^ u128::from(*byte)).wrapping_mul(PRIME);
        Fingerprint(bytes.iter().fold(self.0, mix))
    }

    fn followed_by_value(self, value: Fingerprint) -> Fingerprint {
        self.followed_by(&value.0.to_le_bytes())
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Fingerprint;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Fingerprint, E> {
        Ok(Fingerprint::empty(Kind::Null))
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Fingerprint, E> {
        Ok(Fingerprint::of(Kind::Boolean, &[u8::from(value)]))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Fingerprint, E> {
        Ok(Fingerprint::of(Kind::Number, value.to_string().as_bytes()))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Fingerprint, E> {
        Ok(Fingerprint::of(Kind::Number, value.to_string().as_bytes()))
    }

    /// `12.0` and `12` are one number: display writes both alike.
    fn visit_f64<E: Error>(self, value: f64) -> Result<Fingerprint, E> {
        Ok(Fingerprint::of(Kind::Number, value.to_string().as_bytes()))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Fingerprint, E> {
        Ok(Fingerprint::of(Kind::Text, value.as_bytes()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Fingerprint, A::Error> {
        let mut whole = Fingerprint::empty(Kind::List);
        while let Some(value) = list.next_element::<Fingerprint>()? {
            whole = whole.followed_by_value(value);
        }
        Ok(whole)
    }

    /// The sum over the members does not depend on their order.
    fn visit_map<A: MapAccess<'de>>(self, mut object: A) -> Result<Fingerprint, A::Error> {
        let mut sum = 0_u128;
        let mut count = 0_u64;
        while let Some((name, value)) = object.next_entry::<Fingerprint, Fingerprint>()? {
            sum = sum.wrapping_add(name.followed_by_value(value).0);
            count += 1;
        }
        let whole = Fingerprint::empty(Kind::Object).followed_by(&count.to_le_bytes());
        Ok(whole.followed_by_value(Fingerprint(sum)))
    }
}
