//! Whether the head of an answer is made of two.
//!
//! Handles faulty servers that break off an answer too many: where it is cut in a line, the head of
//! the answer that is due continues it, and the two are read as one. Parsers drop some parts of such
//! a head, so that the bytes are scanned.

/// `HTTP/1.`, a digit, a blank and the status.
const STATUS_LINE_BYTES: usize = 12;
const VERSION: &[u8] = b"HTTP/1.";

/// The progress of a scan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ScanState {
    /// No head is expected, or it has ended.
    #[default]
    Ended,
    /// In a head, or before it.
    Head,
}

/// Counts the status lines in the head of the answer to one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScan {
    state: ScanState,
    last: [u8; STATUS_LINE_BYTES],
    status_lines: usize,
    /// Whether another head follows.
    is_interim: bool,
}

impl HeadScan {
    /// A scan of the bytes that follow a request.
    pub fn begin() -> Self {
        HeadScan { state: ScanState::Head, ..HeadScan::default() }
    }

    /// The number of status lines in the head, quoted ones included.
    pub fn status_lines(&self) -> usize {
        self.status_lines
    }

    /// Whether a head with this many status lines is made of two, on a connection whose first answer
    /// had `usual` ones. That one continues no answer before it, and a success may quote a status
    /// line; a refusal that does is not believed.
    ///
    /// ```
    /// use lentilway::policy::head_scan::HeadScan;
    /// assert!(HeadScan::is_merged(2, 1, true));
    /// assert!(!HeadScan::is_merged(2, 2, true));
    /// assert!(HeadScan::is_merged(2, 2, false));
    /// ```
    pub fn is_merged(status_lines: usize, usual: usize, is_success: bool) -> bool {
        status_lines > usual || (status_lines > 1 && !is_success)
    }

    /// Scans the bytes that were read next.
    ///
    /// ```
    /// use lentilway::policy::head_scan::HeadScan;
    /// let mut scan = HeadScan::begin();
    /// scan.read(b"HTTP/1.1 503 BusyHTTP/1.1 200 OK\r\n\r\nwhole");
    /// assert_eq!(scan.status_lines(), 2);
    /// ```
    pub fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.state == ScanState::Ended {
                return;
            }
            self.last.rotate_left(1);
            self.last[STATUS_LINE_BYTES - 1] = *byte;
            self.see_byte();
        }
    }

    fn see_byte(&mut self) {
        if let Some(first_digit) = status_class(&self.last) {
            self.status_lines += 1;
            self.is_interim = self.status_lines == 1 && first_digit == b'1';
        }
        // Parsers skip empty lines before a head.
        if self.status_lines == 0 || !ends_head(&self.last) {
            return;
        }
        match self.is_interim {
            true => *self = HeadScan::begin(),
            false => self.state = ScanState::Ended,
        }
    }
}

/// The first digit of the status if these bytes are the begin of a status line.
fn status_class(bytes: &[u8; STATUS_LINE_BYTES]) -> Option<u8> {
    let rest = bytes.strip_prefix(VERSION)?;
    let is_status_line =
        rest[0].is_ascii_digit() && rest[1] == b' ' && rest[2..].iter().all(u8::is_ascii_digit);
    is_status_line.then_some(rest[2])
}

fn ends_head(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\r\n") || bytes.ends_with(b"\n\n")
}
