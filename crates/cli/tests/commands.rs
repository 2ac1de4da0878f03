//! The operator commands as a person or a script runs them.

mod common;

use std::{
    fs,
    io::{BufRead, BufReader},
    path, process,
};

use common::{Builder, System};
use rustix::process::{Pid, Signal};
use serde_json::Value;

/// What a command printed, and its exit code.
struct Ran {
    code: i32,
    out: String,
    err: String,
}

fn run(args: &[&str]) -> Ran {
    let command = process::Command::new(env!("CARGO_BIN_EXE_buckthorncove"))
        .args(args)
        .output();
    let output = command.unwrap();
    Ran {
        code: output.status.code().unwrap_or(-1),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Returns the path of a file in the repository.
fn repo(path: &str) -> String {
    format!("{}/../../{path}", env!("CARGO_MANIFEST_DIR"))
}

/// Writes a file for one test and returns its path.
fn file(name: &str, content: &str) -> String {
    let folder = format!("commands-{}", std::process::id());
    let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    fs::create_dir_all(&dir).unwrap();
    let file = dir.join(name);
    fs::write(&file, content).unwrap();
    file.display().to_string()
}

/// Runs a command as the operator of a system.
fn operate(system: &System, args: &[&str]) -> Ran {
    let token = file("token", common::OPERATOR);
    let entry = system.entries[0].http.to_string();
    let mut all = vec!["--entry", &entry, "--token-file", &token];
    all.extend(args);
    run(&all)
}

/// Guards against examples that the product itself refuses.
#[test]
fn the_examples_are_valid() {
    for dir in [
        "examples/local",
        "examples/tulegenov",
        "examples/akarihon",
        "examples/jobs",
    ] {
        let ran = run(&["check", &repo(dir)]);
        assert_eq!(ran.code, 0, "{dir}: {}", ran.err);
    }
    let (entry, scheduler) = (repo("examples/entry.json"), repo("examples/scheduler.json"));
    let ran = run(&["check", "--entry", &entry, "--scheduler", &scheduler]);
    assert_eq!(ran.code, 0, "{}", ran.err);
}

/// Guards against errors without a place, and against a check that stops at the first one.
#[test]
fn check_names_file_line_and_field_of_every_error() {
    let bad =
        "{schema: 2, kind: 'placement', spec: {\n fragmentation_percent: 101}}\n---\n{schema: 9}";
    let path = file("bad.json", bad);
    let ran = run(&["check", &path]);
    assert_eq!(ran.code, 2);
    assert!(
        ran.err
            .contains(&format!("{path}:2: spec.fragmentation_percent:")),
        "{}",
        ran.err
    );
    assert!(
        ran.err.contains(&format!("{path}:4: schema:")),
        "{}",
        ran.err
    );
}

/// Guards against a process that starts with settings that can't work.
#[test]
fn wrong_settings_are_refused_with_path_value_and_expectation() {
    let entry = file(
        "entry.json",
        "{table: '127.0.0.1:1', vm_list: '127.0.0.1:1', config_poll_ms: 'x'}",
    );
    for args in [["check", "--entry", &entry].as_slice(), &["entry", &entry]] {
        let ran = run(args);
        assert_eq!(ran.code, 2, "{args:?}: {}", ran.err);
        assert!(
            ran.err
                .contains("config_poll_ms: \"x\" can't be used, expected"),
            "{}",
            ran.err
        );
    }
    let sched = file("sched.json", "{shard: 7}");
    let ran = run(&["check", "--scheduler", &sched]);
    assert_eq!(ran.code, 2, "{}", ran.err);
    assert!(ran.err.contains("shard"), "{}", ran.err);
}

/// Guards against a migration that changes the meaning, or that loses a file it can't read.
#[test]
fn migrate_rewrites_old_records() {
    let old = "{version: 1, type: 'group', tenant: 'a', group: 'g', max_gpus: 8}";
    let path = file("old.json", old);
    assert_eq!(run(&["migrate", &path]).code, 0);
    assert_eq!(
        fs::read_to_string(&path).unwrap(),
        old,
        "the file changes only with --write"
    );
    assert_eq!(run(&["migrate", "--write", &path]).code, 0);
    let new = fs::read_to_string(&path).unwrap();
    assert!(new.contains("\"quota_accelerators\": 8"), "{new}");
    let bad = file("worse.json", "{version: 3}");
    assert_eq!(run(&["migrate", "--write", &bad]).code, 2);
    assert_eq!(fs::read_to_string(&bad).unwrap(), "{version: 3}");
}

/// Guards against commands that don't fit the interface of the entry.
#[test]
fn an_operator_can_run_the_system() {
    let system = Builder::default().start("operator");
    let percent = file("percent.json", "{version: 1, type: 'policy', packing: 7}");
    let dry = operate(&system, &["apply", "--dry-run", &percent]);
    assert_eq!(
        (dry.code, dry.out.as_str()),
        (0, "~ placement\n"),
        "{}",
        dry.err
    );
    let applied = operate(&system, &["apply", &percent]);
    assert_eq!(applied.code, 0, "{}", applied.err);
    assert!(
        applied.out.contains("revision 2 is in force everywhere"),
        "{}",
        applied.out
    );
    let shown = operate(&system, &["get"]);
    assert!(
        shown.out.contains("\"fragmentation_percent\": 70"),
        "{}",
        shown.out
    );
    let job = file(
        "job.json",
        "{version: 1, type: 'job', tenant: 'weddings', group: 'scoring',
        job: 'j1', work: 'score', gpus: 16, gpus_per_node: 8, cpus_per_node: 4,
        mem_gb_per_node: 1, max_minutes: 1, preemptible: true}",
    );
    let submitted = operate(&system, &["--json", "submit", "--wait", &job]);
    assert_eq!(submitted.code, 0, "{}", submitted.err);
    let last: Value = serde_json::from_str(submitted.out.lines().last().unwrap()).unwrap();
    assert_eq!(
        (&last["phase"], &last["attempt"]),
        (&"done".into(), &1.into())
    );
    let status = operate(&system, &["status"]);
    assert!(
        status.out.contains("weddings/j1 done attempt 1"),
        "{}",
        status.out
    );
    let cancelled = operate(&system, &["cancel", "weddings/j1"]);
    assert!(
        cancelled.out.contains("weddings/j1 done"),
        "{}{}",
        cancelled.out,
        cancelled.err
    );
    assert_eq!(operate(&system, &["dump"]).code, 0);
    assert_eq!(
        operate(&system, &["settle", "weddings/none", "ran"]).code,
        1
    );
    assert_eq!(
        operate(&system, &["settle", "weddings/none", "perhaps"]).code,
        2
    );
}

/// Guards against a script that takes a refusal or an unreachable entry for success.
#[test]
fn failures_have_their_exit_codes() {
    let refused = common::free_addr().to_string();
    assert_eq!(run(&["--entry", &refused, "status"]).code, 1);
    assert_eq!(run(&["--entry", &refused, "cancel", "no-slash"]).code, 2);
    assert_ne!(run(&["no-such-command"]).code, 0);
}

/// Guards against a demonstration that is torn down by SIGTERM: it stops as planned and ends with 0.
#[test]
fn a_demonstration_that_stays_ends_with_0_on_sigterm() {
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_buckthorncove"))
        .args(["local", "--stay"])
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::null())
        .spawn()
        .unwrap();
    let out = BufReader::new(child.stdout.take().unwrap());
    let mut lines = out.lines().map_while(Result::ok);
    assert!(lines.any(|l| l.contains("press Ctrl-C to stop")));
    rustix::process::kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    // The rest of the output is read, so that the process does not wait for it.
    lines.for_each(drop);
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
