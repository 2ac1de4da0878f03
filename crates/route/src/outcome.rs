//! How one attempt at a backend server ended.

use base::name::Name;
use derive_more::Display;

/// Identity of a backend server: the name of its VM.
pub type ServerId = Name;

/// How one attempt at a backend server ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Outcome {
    /// A complete answer with a status below 500 arrived.
    #[display("answered")]
    Answered,
    /// A complete answer with a status of 500 or above arrived, without `x-not-run: 1`.
    #[display("server error")]
    ServerError,
    /// The server answered that it did not run the request (503 with `x-not-run: 1`).
    #[display("not run")]
    NotRun,
    /// No byte was sent, for example because no connection could be opened.
    #[display("not sent")]
    NotSent,
    /// Bytes were sent and no complete answer arrived, so it is unknown whether the request ran.
    #[display("broken")]
    Broken,
    /// The caller went away or the deadline passed, which says nothing about the server's health.
    #[display("cancelled")]
    Cancelled,
}

impl Outcome {
    /// Returns whether the request was certainly not run.
    ///
    /// ```
    /// use route::outcome::Outcome;
    /// assert!(Outcome::NotRun.is_not_run() && Outcome::NotSent.is_not_run());
    /// assert!(!Outcome::Broken.is_not_run());
    /// ```
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotRun | Self::NotSent)
    }

    /// Returns whether the attempt counts against the health of the server.
    ///
    /// ```
    /// use route::outcome::Outcome;
    /// assert!(Outcome::ServerError.is_failure());
    /// assert!(!Outcome::Answered.is_failure() && !Outcome::Cancelled.is_failure());
    /// ```
    pub const fn is_failure(self) -> bool {
        !matches!(self, Self::Answered | Self::Cancelled)
    }
}

/// Load that a server reports in `x-load: USED/SLOTS`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Slots in use when the server answered.
    pub used: u16,
    /// Total slots of the server.
    pub slots: u16,
}

impl Load {
    /// Parses the value of an `x-load` header; `None` if it is not of the form `USED/SLOTS` with at
    /// least one slot.
    ///
    /// ```
    /// use route::outcome::Load;
    /// assert_eq!(Load::parse("3/8"), Some(Load { used: 3, slots: 8 }));
    /// assert_eq!(Load::parse("3/0"), None);
    /// assert_eq!(Load::parse("three"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (used, slots) = text.trim().split_once('/')?;
        let used = used.parse().ok()?;
        let slots = slots.parse().ok().filter(|s| *s > 0)?;
        Some(Self { used, slots })
    }
}
