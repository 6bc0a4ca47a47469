//! SHA-256 digests of keys and tickets.

use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use rand::RngCore;
use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const KEY_BYTES: usize = 32;

/// The SHA-256 digest of a key or a record, written as lower-case hexadecimal.
///
/// Text formats such as JSON contain the digits, binary formats the 32 bytes; both are decoded.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sha256Digest([u8; 32]);

impl Sha256Digest {
    /// The digest of `bytes`.
    ///
    /// ```
    /// use lentilway::version::digest::Sha256Digest;
    /// let digest = Sha256Digest::of(b"");
    /// assert!(digest.to_string().starts_with("e3b0c442"));
    /// ```
    pub fn of(bytes: &[u8]) -> Self {
        Sha256Digest(Sha256::digest(bytes).into())
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &Sha256Digest) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// Wraps the bytes of a digest.
    pub fn from_bytes(bytes: [u8; 32]) -> Self {
        Sha256Digest(bytes)
    }

    /// The digest's bytes.
    pub fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for Sha256Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Sha256Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl Serialize for Sha256Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => serializer.serialize_bytes(&self.0),
        }
    }
}

impl<'de> Deserialize<'de> for Sha256Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(DigestVisitor)
    }
}

struct DigestVisitor;

impl Visitor<'_> for DigestVisitor {
    type Value = Sha256Digest;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a digest of 64 hexadecimal digits or 32 bytes")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Sha256Digest, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Sha256Digest, E> {
        let bytes = bytes.try_into().map_err(|_| E::invalid_length(bytes.len(), &self))?;
        Ok(Sha256Digest(bytes))
    }
}

impl FromStr for Sha256Digest {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || "a digest is 64 hexadecimal digits".to_string();
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(malformed());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| malformed())?;
        }
        Ok(Sha256Digest(bytes))
    }
}

/// Generates a caller key from the operating system's random number generator.
///
/// ```
/// use lentilway::version::digest::new_key;
/// assert_eq!(new_key().len(), 43);
/// ```
pub fn new_key() -> String {
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    URL_SAFE_NO_PAD.encode(bytes)
}
