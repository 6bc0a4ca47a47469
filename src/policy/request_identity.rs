//! What makes two requests the same request, for evidence about what they do to backend servers.
//!
//! Handles a request whose contents end or hang each backend server that runs it, and that comes
//! again with another id at any daemon.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a body that count, besides its length.
const BODY_BYTES_MAX: usize = 64 * 1024;

/// The contents of a request, without its id.
#[derive(Clone, Copy, Debug)]
pub struct RequestContents<'a> {
    /// The organisation, or the calling service of a request without one.
    pub caller: &'a str,
    /// The host that it names.
    pub host: &'a str,
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// A digest of a request's contents. Callers choose paths and bodies, so it is a cryptographic one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestIdentity(pub u64);

impl RequestIdentity {
    /// The identity of a request with these contents.
    ///
    /// ```
    /// use lentilway::policy::request_identity::{RequestContents, RequestIdentity};
    /// let contents =
    ///     RequestContents { caller: "nord", host: "shop", method: "GET", path: "/a", body: b"" };
    /// assert_eq!(RequestIdentity::of(&contents), RequestIdentity::of(&contents));
    /// let other = RequestContents { caller: "sued", ..contents };
    /// assert_ne!(RequestIdentity::of(&contents), RequestIdentity::of(&other));
    /// ```
    pub fn of(contents: &RequestContents<'_>) -> Self {
        let RequestContents { caller, host, method, path, body } = *contents;
        let mut digest = Sha256::new();
        for part in [caller, host, method, path] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        digest.update((body.len() as u64).to_be_bytes());
        digest.update(&body[..body.len().min(BODY_BYTES_MAX)]);
        let digest = digest.finalize();
        let (first, _) = digest.split_first_chunk().expect("the digest has 32 bytes");
        RequestIdentity(u64::from_be_bytes(*first))
    }
}

impl std::fmt::Display for RequestIdentity {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
