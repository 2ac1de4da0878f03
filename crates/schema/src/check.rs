//! Validation of single records and of references between records.

use base::{clock::Millis, limits};
use derive_more::{Display, Error};

use crate::{
    config::{Config, Placement},
    job::Job,
    organisation::Organisation,
    record::Record,
    service::Service,
    shape::{Adjacency, Shape},
};

/// Maximum number of accelerators of one gang member.
pub const MAX_MEMBER_ACCELERATORS: u16 = 32;
/// Maximum declared run time: 400 days.
const MAX_RUN_TIME: Millis = Millis::from_secs(400 * 24 * 3_600);
/// Maximum deadline of an operation: one hour.
const MAX_DEADLINE: Millis = Millis::from_secs(3_600);
/// Length of a SHA-256 hash in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// An invalid value in a record.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
#[display("{field}: {problem}")]
pub struct CheckError {
    /// Path of the field in schema version 2.
    pub field: String,
    /// What is wrong, and what was expected.
    pub problem: String,
}

fn reject(field: &str, problem: String) -> Result<(), CheckError> {
    Err(CheckError {
        field: field.into(),
        problem,
    })
}

fn check_range(field: &str, value: u64, low: u64, high: u64) -> Result<(), CheckError> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    reject(
        field,
        format!("{value} is out of range; expected {low} to {high}"),
    )
}

/// Checks the values of one record.
///
/// ```
/// use schema::{check, config::Placement, record::Record};
/// let record = Record::Placement(Placement { fragmentation_percent: 101 });
/// assert_eq!(check::record(&record).unwrap_err().field, "spec.fragmentation_percent");
/// ```
pub fn record(record: &Record) -> Result<(), CheckError> {
    match record {
        Record::Organisation(o) => organisation(o),
        Record::Service(s) => service(s),
        Record::Placement(p) => placement(p),
        Record::Job(j) => job(j),
        Record::Team(_) | Record::Remove(_) => Ok(()),
    }
}

fn organisation(o: &Organisation) -> Result<(), CheckError> {
    check_range("spec.weight", u64::from(o.weight), 1, 1_000)?;
    for hash in &o.token_hashes {
        let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if hash.len() != HASH_DIGITS || !hash.chars().all(is_digit) {
            let problem = "expected a SHA-256 hash as 64 lower-case hexadecimal digits";
            return reject("spec.token_hashes", problem.into());
        }
    }
    for guarantee in &o.guarantees {
        check_range(
            "spec.guarantees.gangs",
            u64::from(guarantee.gangs),
            1,
            10_000,
        )?;
        shape(&guarantee.shape, "spec.guarantees.shape")?;
    }
    Ok(())
}

fn service(s: &Service) -> Result<(), CheckError> {
    check_range("spec.slots", u64::from(s.slots), 1, 1_024)?;
    check_range("spec.connections", u64::from(s.connections), 1, 65_535)?;
    check_range("spec.operations", s.operations.len() as u64, 1, 256)?;
    for (i, operation) in s.operations.iter().enumerate() {
        check_range(
            "spec.operations.deadline_ms",
            operation.deadline_ms.0,
            1,
            MAX_DEADLINE.0,
        )?;
        if s.operations[..i].iter().any(|o| o.name == operation.name) {
            return reject(
                "spec.operations.name",
                format!("duplicate operation {}", operation.name),
            );
        }
    }
    Ok(())
}

fn placement(p: &Placement) -> Result<(), CheckError> {
    check_range(
        "spec.fragmentation_percent",
        u64::from(p.fragmentation_percent),
        0,
        100,
    )
}

fn job(j: &Job) -> Result<(), CheckError> {
    shape(&j.shape, "spec.shape")?;
    check_range("spec.run_time_ms", j.run_time_ms.0, 1, MAX_RUN_TIME.0)
}

fn shape(s: &Shape, path: &str) -> Result<(), CheckError> {
    let members = u64::from(limits::GANG_MEMBERS);
    check_range(&format!("{path}.members"), u64::from(s.members), 1, members)?;
    let max_accelerators = u64::from(MAX_MEMBER_ACCELERATORS);
    check_range(
        &format!("{path}.accelerators"),
        u64::from(s.accelerators),
        1,
        max_accelerators,
    )?;
    check_range(&format!("{path}.cores"), u64::from(s.cores), 1, 4_096)?;
    check_range(
        &format!("{path}.memory_mb"),
        u64::from(s.memory_mb),
        1,
        64 << 20,
    )?;
    if s.adjacency == Adjacency::Worker && s.total_accelerators() > max_accelerators as u32 {
        let problem = format!(
            "{} accelerators exceed the maximum of {max_accelerators} on one worker",
            s.total_accelerators()
        );
        return reject(&format!("{path}.adjacency"), problem);
    }
    Ok(())
}

/// Checks that every object that a record refers to exists.
///
/// ```
/// use schema::{check, config::Config};
/// assert!(check::references(&Config::default()).is_ok());
/// ```
pub fn references(config: &Config) -> Result<(), CheckError> {
    for key in config.teams.keys() {
        if config.organisations.get(&key.organisation).is_none() {
            let problem = format!(
                "team {} refers to organisation {}",
                key.team, key.organisation
            );
            return reject(
                "spec.organisation",
                format!("{problem}, which does not exist"),
            );
        }
    }
    Ok(())
}
