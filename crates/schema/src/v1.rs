//! Schema version 1, which is still accepted.
//!
//! It differs from the model in names (`tenant`, `group`, `backend`), units (GiB, minutes,
//! seconds), nesting (shape fields are inlined), totals (`gpus` counts the whole gang, with
//! `gpus_per_node` for each member) and defaults (`same_rack` is true and `preemptible` is false
//! when omitted).

use base::{clock::Millis, name::Name};
use serde::{Deserialize, Serialize};

use crate::{
    config::Placement,
    job::{Job, StopMode},
    organisation::{Guarantee, Organisation, Team},
    read::{self, ReadError},
    record::Record,
    service::{Class, Operation, Service},
    shape::{Adjacency, Shape},
};

/// Record types of version 1, as listed in error messages.
const TYPES: &str = "tenant, group, backend, policy, job";
/// MiB in one GiB.
pub(crate) const MIB_PER_GIB: u32 = 1_024;
/// Milliseconds in one minute.
pub(crate) const MS_PER_MINUTE: u64 = 60_000;
/// Milliseconds in one second.
pub(crate) const MS_PER_SECOND: u64 = 1_000;
/// Percent of `fragmentation_percent` per unit of `packing`.
pub(crate) const PERCENT_PER_PACKING_STEP: u8 = 10;

/// `{version: 1, type: "tenant"}`.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Tenant {
    pub version: u32,
    pub r#type: String,
    pub tenant: Name,
    #[serde(default = "one")]
    pub share: u32,
    #[serde(default)]
    pub tokens: Vec<String>,
    #[serde(default)]
    pub reserved: Vec<Reserved>,
}

/// Reserved capacity of a tenant.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Reserved {
    pub count: u16,
    pub gpus: u16,
    pub gpus_per_node: u16,
    pub cpus_per_node: u16,
    pub mem_gb_per_node: u32,
    #[serde(default = "yes")]
    pub same_rack: bool,
    #[serde(default)]
    pub same_node: bool,
}

/// `{version: 1, type: "group"}`.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Group {
    pub version: u32,
    pub r#type: String,
    pub tenant: Name,
    pub group: Name,
    pub max_gpus: u32,
}

/// `{version: 1, type: "backend"}`.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Backend {
    pub version: u32,
    pub r#type: String,
    pub backend: Name,
    #[serde(default = "eight")]
    pub slots: u16,
    #[serde(default = "sixty")]
    pub max_conns: u16,
    pub calls: Vec<Call>,
}

/// An operation of a backend.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Call {
    pub call: Name,
    #[serde(default)]
    pub interactive: bool,
    #[serde(default)]
    pub retry: bool,
    #[serde(default = "ten")]
    pub timeout_s: u64,
}

/// `{version: 1, type: "policy"}`.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Policy {
    pub version: u32,
    pub r#type: String,
    pub packing: u8,
}

/// `{version: 1, type: "job"}`.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct V1Job {
    pub version: u32,
    pub r#type: String,
    pub tenant: Name,
    pub group: Name,
    pub job: Name,
    pub work: Name,
    pub gpus: u16,
    pub gpus_per_node: u16,
    pub cpus_per_node: u16,
    pub mem_gb_per_node: u32,
    #[serde(default = "yes")]
    pub same_rack: bool,
    #[serde(default)]
    pub same_node: bool,
    pub max_minutes: u64,
    #[serde(default)]
    pub priority: Priority,
    #[serde(default)]
    pub preemptible: bool,
}

/// Priority of a job.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Priority {
    #[default]
    Normal,
    Urgent,
}

fn one() -> u32 {
    1
}

fn yes() -> bool {
    true
}

fn eight() -> u16 {
    8
}

fn sixty() -> u16 {
    60
}

fn ten() -> u64 {
    10
}

/// Parses a record of the given `type`.
pub(crate) fn read(text: &str, kind: Option<&str>) -> Result<Record, ReadError> {
    match kind {
        Some("tenant") => organisation(text, read::parse(text)?),
        Some("group") => Ok(team(read::parse(text)?)),
        Some("backend") => service(text, read::parse(text)?),
        Some("policy") => placement(text, &read::parse(text)?),
        Some("job") => job(text, read::parse(text)?),
        Some(kind) => {
            let problem = format!("unknown type '{kind}'; expected one of {TYPES}");
            Err(ReadError::in_field(text, "type", problem))
        }
        None => {
            let problem = format!("missing type; expected one of {TYPES}");
            Err(ReadError::in_field(text, "type", problem))
        }
    }
}

fn organisation(text: &str, old: Tenant) -> Result<Record, ReadError> {
    let guarantees = old
        .reserved
        .iter()
        .map(|r| guarantee(text, r))
        .collect::<Result<_, _>>()?;
    Ok(Record::Organisation(Organisation {
        name: old.tenant,
        token_hashes: old.tokens,
        guarantees,
        weight: old.share,
    }))
}

fn guarantee(text: &str, old: &Reserved) -> Result<Guarantee, ReadError> {
    let shape = shape(
        text,
        &InlineShape {
            gpus: old.gpus,
            gpus_per_node: old.gpus_per_node,
            cpus_per_node: old.cpus_per_node,
            mem_gb_per_node: old.mem_gb_per_node,
            same_rack: old.same_rack,
            same_node: old.same_node,
        },
    )?;
    Ok(Guarantee {
        gangs: old.count,
        shape,
    })
}

fn team(old: Group) -> Record {
    Record::Team(Team {
        organisation: old.tenant,
        name: old.group,
        quota_accelerators: old.max_gpus,
    })
}

fn service(text: &str, old: Backend) -> Result<Record, ReadError> {
    let operations = old
        .calls
        .into_iter()
        .map(|call| operation(text, call))
        .collect::<Result<_, _>>()?;
    Ok(Record::Service(Service {
        name: old.backend,
        slots: old.slots,
        connections: old.max_conns,
        operations,
    }))
}

fn operation(text: &str, old: Call) -> Result<Operation, ReadError> {
    let deadline_ms = to_millis(text, "timeout_s", old.timeout_s, MS_PER_SECOND)?;
    Ok(Operation {
        name: old.call,
        class: if old.interactive {
            Class::Live
        } else {
            Class::Deferrable
        },
        repeatable: old.retry,
        deadline_ms,
    })
}

fn placement(text: &str, old: &Policy) -> Result<Record, ReadError> {
    let percent = old.packing.checked_mul(PERCENT_PER_PACKING_STEP);
    let fragmentation_percent = percent.ok_or_else(|| {
        let problem = format!("{} is out of range; expected 0 to 10", old.packing);
        ReadError::in_field(text, "packing", problem)
    })?;
    Ok(Record::Placement(Placement {
        fragmentation_percent,
    }))
}

fn job(text: &str, old: V1Job) -> Result<Record, ReadError> {
    let shape = shape(
        text,
        &InlineShape {
            gpus: old.gpus,
            gpus_per_node: old.gpus_per_node,
            cpus_per_node: old.cpus_per_node,
            mem_gb_per_node: old.mem_gb_per_node,
            same_rack: old.same_rack,
            same_node: old.same_node,
        },
    )?;
    Ok(Record::Job(Job {
        organisation: old.tenant,
        team: old.group,
        name: old.job,
        kind: old.work,
        shape,
        run_time_ms: to_millis(text, "max_minutes", old.max_minutes, MS_PER_MINUTE)?,
        urgent: old.priority == Priority::Urgent,
        stop: if old.preemptible {
            StopMode::Checkpoint
        } else {
            StopMode::Never
        },
    }))
}

/// The inlined shape fields, which reserved capacity and jobs have in common.
struct InlineShape {
    gpus: u16,
    gpus_per_node: u16,
    cpus_per_node: u16,
    mem_gb_per_node: u32,
    same_rack: bool,
    same_node: bool,
}

fn shape(text: &str, inline: &InlineShape) -> Result<Shape, ReadError> {
    Ok(Shape {
        members: members(text, inline.gpus, inline.gpus_per_node)?,
        accelerators: inline.gpus_per_node,
        cores: inline.cpus_per_node,
        memory_mb: memory_mb(text, inline.mem_gb_per_node)?,
        adjacency: adjacency(text, inline)?,
    })
}

/// Returns the number of members, each with `per_node` of the `gpus` in total.
fn members(text: &str, gpus: u16, per_node: u16) -> Result<u16, ReadError> {
    if per_node == 0 || !gpus.is_multiple_of(per_node) {
        let problem = format!("{gpus} is not a multiple of gpus_per_node ({per_node})");
        return Err(ReadError::in_field(text, "gpus", problem));
    }
    Ok(gpus / per_node)
}

fn memory_mb(text: &str, gib: u32) -> Result<u32, ReadError> {
    gib.checked_mul(MIB_PER_GIB)
        .ok_or_else(|| ReadError::in_field(text, "mem_gb_per_node", "the value is too large"))
}

fn adjacency(text: &str, inline: &InlineShape) -> Result<Adjacency, ReadError> {
    if inline.same_node && inline.gpus != inline.gpus_per_node {
        let problem = format!(
            "same_node requires gpus_per_node ({}) to equal gpus ({})",
            inline.gpus_per_node, inline.gpus
        );
        return Err(ReadError::in_field(text, "same_node", problem));
    }
    Ok(match (inline.same_node, inline.same_rack) {
        (true, _) => Adjacency::Worker,
        (false, true) => Adjacency::Rack,
        (false, false) => Adjacency::DataCentre,
    })
}

fn to_millis(text: &str, field: &str, value: u64, factor: u64) -> Result<Millis, ReadError> {
    value
        .checked_mul(factor)
        .map(Millis)
        .ok_or_else(|| ReadError::in_field(text, field, "the value is too large"))
}
