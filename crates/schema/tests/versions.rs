//! Tests that equivalent records in schema versions 1 and 2 have the same effect.

use base::{clock::Millis, name::Name};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use schema::{
    change::{self, ChangeError},
    config::{Config, Placement},
    job::{Job, StopMode},
    organisation::{Guarantee, Organisation, Team},
    read::{self, ReadError},
    record::{Record, Version, VersionedRecord},
    service::{Class, Operation, Service},
    shape::{Adjacency, Shape},
    v1_write, v2,
};

/// A random record that both schema versions can express.
#[derive(Clone, Debug)]
struct CommonRecord(Record);

fn name(g: &mut Gen) -> Name {
    let names = ["akarihon", "tulegenov", "a", "stock-7"];
    g.choose(&names).unwrap().parse().unwrap()
}

fn one_to(g: &mut Gen, limit: u16) -> u16 {
    u16::arbitrary(g) % limit + 1
}

fn shape(g: &mut Gen) -> Shape {
    let adjacency = *g
        .choose(&[Adjacency::Worker, Adjacency::Rack, Adjacency::DataCentre])
        .unwrap();
    let members = if adjacency == Adjacency::Worker {
        1
    } else {
        one_to(g, 64)
    };
    Shape {
        members,
        accelerators: one_to(g, 8),
        cores: one_to(g, 128),
        memory_mb: u32::from(one_to(g, 256)) * 1_024,
        adjacency,
    }
}

fn organisation(g: &mut Gen) -> Organisation {
    let guarantees = (0..one_to(g, 3))
        .map(|_| Guarantee {
            gangs: one_to(g, 5),
            shape: shape(g),
        })
        .collect();
    let token_hashes = vec!["0a".repeat(32)];
    Organisation {
        name: name(g),
        token_hashes,
        guarantees,
        weight: u32::from(one_to(g, 9)),
    }
}

fn service(g: &mut Gen) -> Service {
    let operation = Operation {
        name: name(g),
        class: *g.choose(&[Class::Live, Class::Deferrable]).unwrap(),
        repeatable: bool::arbitrary(g),
        deadline_ms: Millis::from_secs(u64::from(one_to(g, 60))),
    };
    Service {
        name: name(g),
        slots: one_to(g, 16),
        connections: one_to(g, 60),
        operations: vec![operation],
    }
}

fn job(g: &mut Gen) -> Job {
    Job {
        organisation: name(g),
        team: name(g),
        name: name(g),
        kind: name(g),
        shape: shape(g),
        run_time_ms: Millis::from_secs(u64::from(one_to(g, 600)) * 60),
        urgent: bool::arbitrary(g),
        stop: *g.choose(&[StopMode::Checkpoint, StopMode::Never]).unwrap(),
    }
}

impl Arbitrary for CommonRecord {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(match u8::arbitrary(g) % 5 {
            0 => Record::Organisation(organisation(g)),
            1 => Record::Service(service(g)),
            2 => Record::Job(job(g)),
            3 => Record::Team(Team {
                organisation: name(g),
                name: name(g),
                quota_accelerators: u32::from(one_to(g, 512)),
            }),
            _ => Record::Placement(Placement {
                fragmentation_percent: (one_to(g, 11) as u8 - 1) * 10,
            }),
        })
    }
}

fn read(text: &str) -> VersionedRecord {
    read::read(text).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

fn failure(text: &str) -> ReadError {
    read::read(text).unwrap_err()
}

/// Guards against fields whose unit, name, nesting or default is parsed differently in one of the
/// versions.
#[test]
fn both_versions_of_a_record_are_equal() {
    fn prop(CommonRecord(record): CommonRecord) -> bool {
        let old = read(&v1_write::write(&record).unwrap());
        let new = read(&v2::write(&record));
        assert_eq!((old.version, new.version), (Version::V1, Version::V2));
        old.record == record && new.record == record
    }
    let rng = Gen::from_size_and_seed(100, 11);
    QuickCheck::new()
        .tests(500)
        .rng(rng)
        .quickcheck(prop as fn(CommonRecord) -> bool);
}

/// Guards against changes whose effect depends on the schema version of their records.
#[test]
fn a_mixed_set_gives_the_same_configuration() {
    fn prop(records: Vec<(CommonRecord, bool)>) -> bool {
        let mixed: Vec<VersionedRecord> = records
            .iter()
            .map(|(CommonRecord(record), old)| match old {
                true => read(&v1_write::write(record).unwrap()),
                false => read(&v2::write(record)),
            })
            .collect();
        let new: Vec<VersionedRecord> = records
            .iter()
            .map(|(CommonRecord(record), _)| read(&v2::write(record)))
            .collect();
        let config = Config::default();
        change::apply(&config, &mixed) == change::apply(&config, &new)
    }
    let rng = Gen::from_size_and_seed(12, 12);
    QuickCheck::new()
        .tests(500)
        .rng(rng)
        .quickcheck(prop as fn(Vec<(CommonRecord, bool)>) -> bool);
}

/// Guards against omitted version 1 fields that get the defaults of version 2.
#[test]
fn version_1_defaults_are_kept() {
    let old = read(
        "{version: 1, type: 'job', tenant: 'a', group: 'g', job: 'j', work: 'w', gpus: 16,
          gpus_per_node: 8, cpus_per_node: 4, mem_gb_per_node: 2, max_minutes: 3}",
    );
    let Record::Job(job) = old.record else {
        panic!("{old:?}")
    };
    assert_eq!(job.shape.adjacency, Adjacency::Rack);
    assert_eq!(job.shape.members, 2);
    assert_eq!(job.shape.memory_mb, 2_048);
    assert_eq!(job.run_time_ms, Millis(180_000));
    assert_eq!(job.stop, StopMode::Never);
}

/// Guards against errors that do not report the line and field of the invalid value.
#[test]
fn errors_report_the_line_and_the_field() {
    let cases = [
        ("{\n  schema: 3, kind: 'team'}", 2, "schema"),
        ("{\n\n  version: 7, type: 'group'}", 3, "version"),
        ("{kind: 'team'}", 1, "record"),
        ("{schema: 2,\n version: 1}", 1, "schema"),
        ("{schema: 2,\n kind: 'tenant', spec: {}}", 2, "kind"),
        (
            "{schema: 2, kind: 'placement', spec: {\n fragmentation_percent: 101}}",
            2,
            "spec.fragmentation_percent",
        ),
        (
            "{schema: 2, kind: 'placement', spec: {\n fragmentation_percent: 1,\n wieght: 2}}",
            3,
            "wieght",
        ),
        (
            "{version: 1, type: 'policy', packing: 11}",
            1,
            "spec.fragmentation_percent",
        ),
        (
            "{version: 1, type: 'group',\n tenant: 'a', group: 'g'}",
            1,
            "max_gpus",
        ),
    ];
    for (text, line, field) in cases {
        let e = failure(text);
        assert_eq!((e.line, e.field.as_str()), (line, field), "{text}\n{e}");
    }
}

/// Guards against a version 1 record that silently overwrites a value that only version 2 can
/// express.
#[test]
fn a_lossy_version_1_write_is_rejected() {
    let new = read("{schema: 2, kind: 'placement', spec: {fragmentation_percent: 85}}");
    let old = read("{version: 1, type: 'policy', packing: 3}");
    let (config, _) = change::apply(&Config::default(), &[new]).unwrap();
    let error = change::apply(&config, std::slice::from_ref(&old)).unwrap_err();
    let ChangeError::Lossy { lost, .. } = error else {
        panic!("{error}")
    };
    assert_eq!(lost.field, "spec.fragmentation_percent");
    assert!(change::apply(&Config::default(), &[old]).is_ok());
}

/// Guards against malformed input that causes a panic instead of an error.
#[test]
fn malformed_records_never_panic() {
    fn prop(CommonRecord(record): CommonRecord, cut: usize, byte: u8) -> bool {
        let mut bytes = v2::write(&record).into_bytes();
        let i = cut % bytes.len();
        bytes[i] = byte;
        let _ = read::read(&String::from_utf8_lossy(&bytes));
        let _ = read::read(&String::from_utf8_lossy(&bytes[..i]));
        true
    }
    let rng = Gen::from_size_and_seed(100, 13);
    QuickCheck::new()
        .tests(1_000)
        .rng(rng)
        .quickcheck(prop as fn(CommonRecord, usize, u8) -> bool);
}
