//! Expected run times, learned from the progress of runs.
//!
//! Two things are learned together: how much longer a run takes on one worker than on another, and
//! how submitted estimates relate to run times. The crate does no I/O and reads no clock.
//!
//! The model of a run is `ln(duration) = step effect + worker effect + noise`. [`predictor`] feeds
//! observations to the fit of the effects and the step effects to the regressions per kind of work,
//! which are the priors of new steps.

mod fit;
mod gauss;
pub mod observation;
pub mod predictor;
mod run;
mod run_times;
mod speeds;
pub mod stored;

use std::sync;

/// A shared immutable string, such as the id of a worker.
pub type Name = sync::Arc<str>;
