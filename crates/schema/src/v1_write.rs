//! Serialisation of records in schema version 1, as far as it can express them.

use derive_more::{Display, Error};
use serde::Serialize;

use crate::{
    job::{Job, StopMode},
    organisation::{Guarantee, Organisation, Team},
    record::Record,
    service::{Class, Operation, Service},
    shape::{Adjacency, Shape},
    v1,
};

/// A value that only version 2 can express.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
#[display("{field}: {reason}; only schema version 2 can express it")]
pub struct UnsupportedInV1 {
    /// Path of the field in schema version 2.
    pub field: String,
    /// Why version 1 can't express the value.
    pub reason: String,
}

fn unsupported(field: &str, reason: impl Into<String>) -> UnsupportedInV1 {
    UnsupportedInV1 {
        field: field.into(),
        reason: reason.into(),
    }
}

/// Serialises a record in version 1.
///
/// ```
/// use schema::{config::Placement, read, record::Record, v1_write};
///
/// let record = Record::Placement(Placement { fragmentation_percent: 80 });
/// let old = v1_write::write(&record).unwrap();
/// assert_eq!(read::read(&old).unwrap().record, record);
///
/// let record = Record::Placement(Placement { fragmentation_percent: 85 });
/// assert_eq!(v1_write::write(&record).unwrap_err().field, "spec.fragmentation_percent");
/// ```
pub fn write(record: &Record) -> Result<String, UnsupportedInV1> {
    match record {
        Record::Organisation(o) => Ok(json(&tenant(o)?)),
        Record::Team(t) => Ok(json(&group(t))),
        Record::Service(s) => Ok(json(&backend(s)?)),
        Record::Placement(p) => {
            if !p
                .fragmentation_percent
                .is_multiple_of(v1::PERCENT_PER_PACKING_STEP)
            {
                let reason = format!("{} is not a multiple of 10", p.fragmentation_percent);
                return Err(unsupported("spec.fragmentation_percent", reason));
            }
            let packing = p.fragmentation_percent / v1::PERCENT_PER_PACKING_STEP;
            Ok(json(&v1::Policy {
                version: 1,
                r#type: "policy".into(),
                packing,
            }))
        }
        Record::Job(j) => Ok(json(&job(j)?)),
        Record::Remove(_) => Err(unsupported("kind", "removals are not supported")),
    }
}

fn json<T: Serialize>(record: &T) -> String {
    serde_json::to_string_pretty(record).unwrap_or_default()
}

fn tenant(o: &Organisation) -> Result<v1::Tenant, UnsupportedInV1> {
    Ok(v1::Tenant {
        version: 1,
        r#type: "tenant".into(),
        tenant: o.name.clone(),
        share: o.weight,
        tokens: o.token_hashes.clone(),
        reserved: o
            .guarantees
            .iter()
            .map(reserved)
            .collect::<Result<_, _>>()?,
    })
}

fn reserved(guarantee: &Guarantee) -> Result<v1::Reserved, UnsupportedInV1> {
    let shape = inline_shape(&guarantee.shape, "spec.guarantees.shape")?;
    Ok(v1::Reserved {
        count: guarantee.gangs,
        gpus: shape.gpus,
        gpus_per_node: guarantee.shape.accelerators,
        cpus_per_node: guarantee.shape.cores,
        mem_gb_per_node: shape.mem_gb,
        same_rack: shape.same_rack,
        same_node: shape.same_node,
    })
}

fn group(t: &Team) -> v1::Group {
    v1::Group {
        version: 1,
        r#type: "group".into(),
        tenant: t.organisation.clone(),
        group: t.name.clone(),
        max_gpus: t.quota_accelerators,
    }
}

fn backend(s: &Service) -> Result<v1::Backend, UnsupportedInV1> {
    Ok(v1::Backend {
        version: 1,
        r#type: "backend".into(),
        backend: s.name.clone(),
        slots: s.slots,
        max_conns: s.connections,
        calls: s.operations.iter().map(call).collect::<Result<_, _>>()?,
    })
}

fn call(operation: &Operation) -> Result<v1::Call, UnsupportedInV1> {
    let field = "spec.operations.deadline_ms";
    Ok(v1::Call {
        call: operation.name.clone(),
        interactive: operation.class == Class::Live,
        retry: operation.repeatable,
        timeout_s: divide_exact(field, operation.deadline_ms.0, v1::MS_PER_SECOND)?,
    })
}

fn job(j: &Job) -> Result<v1::V1Job, UnsupportedInV1> {
    let shape = inline_shape(&j.shape, "spec.shape")?;
    let preemptible = match j.stop {
        StopMode::Checkpoint => true,
        StopMode::Never => false,
        StopMode::Restart => return Err(unsupported("spec.stop", "'restart' is not supported")),
    };
    Ok(v1::V1Job {
        version: 1,
        r#type: "job".into(),
        tenant: j.organisation.clone(),
        group: j.team.clone(),
        job: j.name.clone(),
        work: j.kind.clone(),
        gpus: shape.gpus,
        gpus_per_node: j.shape.accelerators,
        cpus_per_node: j.shape.cores,
        mem_gb_per_node: shape.mem_gb,
        same_rack: shape.same_rack,
        same_node: shape.same_node,
        max_minutes: divide_exact("spec.run_time_ms", j.run_time_ms.0, v1::MS_PER_MINUTE)?,
        priority: if j.urgent {
            v1::Priority::Urgent
        } else {
            v1::Priority::Normal
        },
        preemptible,
    })
}

/// Shape fields as version 1 inlines them in reserved capacity and jobs.
struct InlineShape {
    gpus: u16,
    mem_gb: u32,
    same_rack: bool,
    same_node: bool,
}

fn inline_shape(shape: &Shape, path: &str) -> Result<InlineShape, UnsupportedInV1> {
    if shape.adjacency == Adjacency::Worker && shape.members != 1 {
        let reason = "several members on one worker are not supported";
        return Err(unsupported(&format!("{path}.adjacency"), reason));
    }
    let memory = u64::from(shape.memory_mb);
    let mem_gb = divide_exact(
        &format!("{path}.memory_mb"),
        memory,
        u64::from(v1::MIB_PER_GIB),
    )?;
    let gpus = shape
        .members
        .checked_mul(shape.accelerators)
        .ok_or_else(|| {
            unsupported(
                &format!("{path}.members"),
                "the total number of accelerators does not fit in gpus",
            )
        })?;
    Ok(InlineShape {
        gpus,
        mem_gb: mem_gb as u32,
        same_rack: shape.adjacency == Adjacency::Rack,
        same_node: shape.adjacency == Adjacency::Worker,
    })
}

fn divide_exact(field: &str, value: u64, unit: u64) -> Result<u64, UnsupportedInV1> {
    if !value.is_multiple_of(unit) {
        return Err(unsupported(
            field,
            format!("{value} is not a multiple of {unit}"),
        ));
    }
    Ok(value / unit)
}
