//! Whether the head of an answer is made of two.
//!
//! Handles faulty servers that break off an answer too many: where it is cut in a value or in the
//! reason phrase, the head of the answer that is due continues it, and the two are read as one.
//! The answers of one server are alike; what the first answer on a connection, which continues no
//! other one, shows too is no sign of it.

/// Features of a head that tell whether it may be made of two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadStyle {
    /// Whether it has a reason phrase; parsers drop one that is not ASCII.
    pub has_reason: bool,
    /// Whether a value or the reason phrase contains a status line.
    pub quotes_status_line: bool,
}

impl HeadStyle {
    /// The style of a head with this reason phrase and these values.
    ///
    /// ```
    /// use lentilway::policy::head_style::HeadStyle;
    /// let style = HeadStyle::of(b"OK", [&b"1HTTP/1.1 200 OK"[..]]);
    /// assert!(style.has_reason && style.quotes_status_line);
    /// ```
    pub fn of<'a>(reason: &[u8], values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        HeadStyle {
            has_reason: !reason.is_empty(),
            quotes_status_line: has_status_line(reason) || values.into_iter().any(has_status_line),
        }
    }

    /// Whether it may be made of two, if the first answer on the connection had the style `first`.
    ///
    /// ```
    /// use lentilway::policy::head_style::HeadStyle;
    /// let usual = HeadStyle { has_reason: true, quotes_status_line: false };
    /// let merged = HeadStyle { quotes_status_line: true, ..usual };
    /// assert!(merged.is_merged(usual));
    /// assert!(!merged.is_merged(merged));
    /// ```
    pub fn is_merged(self, first: HeadStyle) -> bool {
        (self.quotes_status_line && !first.quotes_status_line)
            || (!self.has_reason && first.has_reason)
    }
}

/// Whether a part of a head contains the begin of an answer.
///
/// ```
/// use lentilway::policy::head_style::has_status_line;
/// assert!(has_status_line(b"1HTTP/1.1 200 OK"));
/// assert!(!has_status_line(b"HTTP/1.1 proxy.example"));
/// ```
pub fn has_status_line(part: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    // The version's last digit, a blank and the status.
    const REST: usize = 5;
    part.windows(VERSION.len() + REST).any(|line| {
        let (version, rest) = line.split_at(VERSION.len());
        version == VERSION
            && rest[0].is_ascii_digit()
            && rest[1] == b' '
            && rest[2..].iter().all(u8::is_ascii_digit)
    })
}
