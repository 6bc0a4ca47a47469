//! Change tickets: numbered changes with the complete new state of each object they touch.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use smallvec::SmallVec;
use snafu::Snafu;

use super::digest::Sha256Digest;
use super::organisation::OrganisationState;
use super::route::RouteState;

/// The maximum size of a ticket, in bytes of JSON.
pub const TICKET_BYTES_MAX: usize = 64 * 1024;

/// The maximum number of objects in one ticket.
pub const TICKET_OBJECTS_MAX: usize = 64;

/// The newest ticket format that this release reads.
pub const TICKET_FORMAT: u16 = 1;

const NAME_BYTES_MAX: usize = 64;

/// The kind and name of a configured object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectKey {
    /// Organisation or route.
    pub kind: ObjectKind,
    /// The name, unique within the kind.
    pub name: Arc<str>,
}

/// The kinds of configured objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// A customer with keys, rate and burst.
    Organisation,
    /// A method and path with its service.
    Route,
}

/// The complete new state of one object; an absent state deletes the object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ObjectChange {
    /// An organisation's new state.
    Organisation {
        /// The organisation's name.
        name: Arc<str>,
        /// The new state, absent to delete it.
        state: Option<OrganisationState>,
    },
    /// A route's new state.
    Route {
        /// The route's name.
        name: Arc<str>,
        /// The new state, absent to delete it.
        state: Option<RouteState>,
    },
}

impl ObjectChange {
    /// The kind and name of the object.
    pub fn key(&self) -> ObjectKey {
        match self {
            ObjectChange::Organisation { name, .. } => {
                ObjectKey { kind: ObjectKind::Organisation, name: name.clone() }
            }
            ObjectChange::Route { name, .. } => {
                ObjectKey { kind: ObjectKind::Route, name: name.clone() }
            }
        }
    }

    /// The change that deletes the object.
    pub fn deleted(key: &ObjectKey) -> Self {
        let name = key.name.clone();
        match key.kind {
            ObjectKind::Organisation => ObjectChange::Organisation { name, state: None },
            ObjectKind::Route => ObjectChange::Route { name, state: None },
        }
    }

    fn validate(&self) -> Result<(), String> {
        let name = self.key().name;
        if name.is_empty() || name.len() > NAME_BYTES_MAX {
            return Err(format!("name must have 1 to {NAME_BYTES_MAX} bytes"));
        }
        let result = match self {
            ObjectChange::Organisation { state: Some(state), .. } => state.validate(),
            ObjectChange::Route { state: Some(state), .. } => state.validate(),
            _ => Ok(()),
        };
        result.map_err(|reason| format!("{name}: {reason}"))
    }
}

/// A numbered change of configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeTicket {
    /// The format of the ticket, 1 by default.
    #[serde(default = "first_format")]
    pub format: u16,
    /// The ticket's number, from 1.
    pub number: u64,
    /// The author, for information only.
    #[serde(default)]
    pub author: Arc<str>,
    /// The new state of each object that the ticket touches.
    pub objects: SmallVec<[ObjectChange; 2]>,
}

fn first_format() -> u16 {
    1
}

/// The one field that every ticket format has.
#[derive(Deserialize)]
struct FormatProbe {
    #[serde(default = "first_format")]
    format: u16,
}

/// Why a record is not a ticket that this release can read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TicketError {
    /// The record is truncated, corrupt, too large or out of range.
    #[snafu(display("{reason}"))]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// A newer release wrote the record.
    #[snafu(display("format {format} is newer than {TICKET_FORMAT}"))]
    NewerFormat {
        /// The record's format.
        format: u16,
    },
}

impl From<String> for TicketError {
    fn from(reason: String) -> Self {
        TicketError::Malformed { reason }
    }
}

impl From<serde_json::Error> for TicketError {
    fn from(error: serde_json::Error) -> Self {
        TicketError::Malformed { reason: error.to_string() }
    }
}

/// A ticket with its canonical encoding, which is written to the log.
#[derive(Clone, Debug, PartialEq)]
pub struct CanonicalTicket {
    /// The ticket.
    pub ticket: ChangeTicket,
    /// JSON with sorted keys and without whitespace.
    pub record: Vec<u8>,
    /// The digest of the record.
    pub digest: Sha256Digest,
}

impl ChangeTicket {
    /// Parses and validates a ticket.
    ///
    /// # Errors
    /// [`TicketError`] with what is wrong, or with a format newer than this release.
    ///
    /// ```
    /// use lentilway::version::ticket::ChangeTicket;
    /// let text = br#"{"number":1,"objects":[{"kind":"route","name":"r","state":null}]}"#;
    /// assert_eq!(ChangeTicket::parse(text).unwrap().number, 1);
    /// assert!(ChangeTicket::parse(b"{}").is_err());
    /// ```
    pub fn parse(text: &[u8]) -> Result<Self, TicketError> {
        if text.len() > TICKET_BYTES_MAX {
            return Err(format!("a ticket has at most {TICKET_BYTES_MAX} bytes").into());
        }
        let probe: FormatProbe = serde_json::from_slice(text)?;
        if probe.format > TICKET_FORMAT {
            return Err(TicketError::NewerFormat { format: probe.format });
        }
        let ticket: ChangeTicket = serde_json::from_slice(text)?;
        ticket.validate()?;
        Ok(ticket)
    }

    /// Parses an operator's ticket and encodes it canonically for the log.
    ///
    /// The encoding depends only on the operator's text, so that a ticket has the same digest in
    /// every release, regardless of whitespace and the order of keys.
    ///
    /// # Errors
    /// As [`ChangeTicket::parse`].
    pub fn canonicalise(text: &[u8]) -> Result<CanonicalTicket, TicketError> {
        let ticket = ChangeTicket::parse(text)?;
        let value: Value = serde_json::from_slice(text)?;
        let record = serde_json::to_vec(&sort_keys(value))?;
        if record.len() > TICKET_BYTES_MAX {
            return Err(format!("a ticket has at most {TICKET_BYTES_MAX} bytes").into());
        }
        let digest = Sha256Digest::of(&record);
        Ok(CanonicalTicket { ticket, record, digest })
    }

    fn validate(&self) -> Result<(), String> {
        if self.format == 0 {
            return Err("format must be 1 or more".into());
        }
        if self.number == 0 {
            return Err("number must be 1 or more".into());
        }
        if self.objects.is_empty() || self.objects.len() > TICKET_OBJECTS_MAX {
            return Err(format!("objects must have 1 to {TICKET_OBJECTS_MAX} entries"));
        }
        let mut keys: Vec<ObjectKey> = self.objects.iter().map(ObjectChange::key).collect();
        keys.sort();
        keys.dedup();
        if keys.len() != self.objects.len() {
            return Err("a ticket must not touch an object twice".into());
        }
        self.objects.iter().try_for_each(ObjectChange::validate)
    }
}

/// Sorts the keys of every object, regardless of the map type of the JSON library.
fn sort_keys(value: Value) -> Value {
    match value {
        Value::Object(fields) => {
            let fields: BTreeMap<String, Value> = fields.into_iter().collect();
            Value::Object(
                fields.into_iter().map(|(name, value)| (name, sort_keys(value))).collect(),
            )
        }
        Value::Array(items) => Value::Array(items.into_iter().map(sort_keys).collect()),
        other => other,
    }
}
