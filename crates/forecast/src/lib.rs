//! Expected run times, learned from the progress of runs.
//!
//! Two things are learned together: how much longer a run takes on one worker than on another, and
//! how submitted estimates relate to run times. The crate does no I/O and reads no clock.

pub mod observation;
pub mod predictor;
pub mod stored;

use std::sync;

/// A shared immutable string, such as the id of a worker.
pub type Name = sync::Arc<str>;
