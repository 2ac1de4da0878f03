//! Limits of submitted jobs, at and above each.

use base::clock::Millis;
use batch::job::{AcceptedJob, MAX_AMOUNT, MAX_SUBTASKS, Repeat, Resources, Spec, SpecError, Step};

fn job(counts: &[u32]) -> Spec {
    let step = |count: &u32| Step {
        count: *count,
        ..Step::default()
    };
    Spec {
        steps: counts.iter().map(step).collect(),
        ..Spec::default()
    }
}

/// Guards against jobs that are refused although the deployment can run them: steps of 470 subtasks
/// got 400, and so did jobs of more than 64 steps.
#[test]
fn large_jobs_are_accepted_up_to_what_one_transaction_stores() {
    assert_eq!(job(&[470, 411]).check(), Ok(()));
    assert_eq!(job(&[1; 500]).check(), Ok(()));
    let max = MAX_SUBTASKS as u32;
    assert_eq!(job(&[max]).check(), Ok(()));
    assert_eq!(job(&[max / 2, max / 2]).check(), Ok(()));
    let above = SpecError::Subtasks(MAX_SUBTASKS + 1);
    assert_eq!(job(&[max + 1]).check(), Err(above.clone()));
    assert_eq!(job(&[max, 1]).check(), Err(above.clone()));
    assert!(above.to_string().contains("at most 6000 subtasks"));
    assert_eq!(job(&[]).check(), Err(SpecError::NoSteps));
    assert_eq!(job(&[1, 0]).check(), Err(SpecError::NoSubtasks(1)));
}

/// Guards against a scheduled job whose progress outgrows a transaction after some occurrences: it
/// could not be stored any more, nor could any other job.
#[test]
fn all_occurrences_count() {
    let repeated = |count| Spec {
        repeat: Some(Repeat {
            count,
            first: Millis(1),
            interval: Millis(1),
        }),
        ..job(&[10])
    };
    assert_eq!(repeated(600).check(), Ok(()));
    assert_eq!(repeated(601).check(), Err(SpecError::Subtasks(6_010)));
    let counts = Spec {
        repeat: repeated(u32::MAX).repeat,
        ..job(&[u32::MAX; 3])
    };
    assert!(matches!(counts.check(), Err(SpecError::Subtasks(_))));
}

/// Guards against amounts whose sum over all subtasks overflows.
#[test]
fn amounts_and_times_are_bounded() {
    let with = |cpu: u64, estimate: u64| Spec {
        steps: vec![Step {
            count: 6_000,
            need: Resources {
                cpu,
                memory_mb: cpu,
                accelerators: cpu,
            },
            estimate: Millis(estimate),
            ..Step::default()
        }],
        ..Spec::default()
    };
    assert_eq!(with(MAX_AMOUNT, MAX_AMOUNT).check(), Ok(()));
    assert_eq!(with(MAX_AMOUNT + 1, 1).check(), Err(SpecError::Amount(0)));
    assert_eq!(with(1, u64::MAX).check(), Err(SpecError::Amount(0)));
    let far = Repeat {
        count: 3,
        first: Millis(u64::MAX),
        interval: Millis(u64::MAX),
    };
    assert_eq!(far.due(2), Millis(u64::MAX), "never, and not at once");
}

/// Guards against records that can't be read back because fields with default values are left out,
/// and against records of the earlier form, which has all fields.
#[test]
fn a_record_without_default_fields_is_read_back() {
    let accepted = AcceptedJob {
        id: "1".into(),
        queue: "q".into(),
        service: "s".into(),
        organisation: None,
        at: Millis(1),
        spec: job(&[3]),
    };
    let text = serde_json::to_string(&accepted).unwrap();
    assert!(!text.contains("label"), "{text}");
    assert_eq!(
        serde_json::from_str::<AcceptedJob>(&text).unwrap(),
        accepted
    );
    let all_fields = r#"{"count":3,"need":{"cpu":0,"memory_mb":0,"accelerators":0},"estimate":0,
        "after":[],"checkpoints":false,"gang":false,"same_rack":false,"label":null,
        "data_rack":null,"max_per_worker":0,"speculative":false,"endless":false,"image":null,
        "target":null,"fills":false,"allowed_misses":0}"#;
    let step: Step = serde_json::from_str(all_fields).unwrap();
    assert_eq!(step, accepted.spec.steps[0]);
}
