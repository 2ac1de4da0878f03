//! Entries and schedulers beside crowds of callers; [`crowds`] says what is checked.

mod common;
mod crowds;

use common::{
    Builder, ORGANISATION_TOKEN, System,
    flood::{Script, Then},
};
use crowds::{
    BODIES, BODY_BYTES, CALLERS, CHUNKED, CONNECTIONS, REQUESTERS, alone, authorization, check,
    endless, many, once, with_body,
};
use serde_json::json;

fn start_entry(test: &str) -> System {
    let builder = Builder {
        entries: 1,
        schedulers: 1,
        entry_settings: json!({"connections": CONNECTIONS, "body_memory_bytes": 4 << 20}),
        ..Builder::default()
    };
    builder.start(test)
}

fn check_entry(test: &str, callers: usize, scripts: &[Script]) {
    let _alone = alone();
    let mut system = start_entry(test);
    let mut proc = system.entries.remove(0);
    let addr = proc.http;
    check(&mut proc, addr, callers, scripts, |when| {
        let answer = common::call(addr, "score", None);
        let status = answer.as_ref().map(|a| a.status);
        assert_eq!(status, Some(200), "{when}: {answer:?}");
    });
}

fn entry_head(path: &str, key: Option<&str>) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: x\r\n{}", authorization(key))
}

/// Guards against an entry that keeps the header of a chunk until its end.
#[test]
fn an_entry_stands_chunk_headers_without_end() {
    for key in [Some(ORGANISATION_TOKEN), None] {
        for callers in [1, CALLERS] {
            let head = entry_head("/call/refund/score", key);
            let script = endless(format!("{head}{CHUNKED}1;x="));
            check_entry("entry-chunk-headers", callers, &[script]);
        }
    }
}

/// Guards against an entry that keeps request lines, headers or trailers without end.
#[test]
fn an_entry_stands_lines_without_end() {
    let head = entry_head("/call/refund/score", Some(ORGANISATION_TOKEN));
    let starts = [
        "GET /".to_owned(),
        format!("{head}x: "),
        format!("{head}{CHUNKED}0\r\nx: "),
    ];
    check_entry("entry-lines", CALLERS, &starts.map(endless));
}

/// Guards against an entry that answers without end what nobody reads.
#[test]
fn an_entry_stands_requests_whose_answers_are_not_read() {
    for path in ["/dump", "/metrics", "/jobs", "/x"] {
        println!("{path}");
        let key = authorization(Some(ORGANISATION_TOKEN));
        let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n{key}\r\n");
        check_entry("entry-unread", REQUESTERS, &[many(request, Then::Stay)]);
    }
}

/// Guards against an entry that decodes more records than a change may have.
#[test]
fn an_entry_stands_jobs_of_many_fields() {
    let values = "0,".repeat(BODY_BYTES);
    let body = format!(r#"{{"schema":2,"kind":"job","name":"x","steps":[{values}0]}}"#);
    let request = with_body(&entry_head("/jobs", Some(ORGANISATION_TOKEN)), &body);
    check_entry("entry-jobs", BODIES, &[once(request, Then::ComeAgain)]);
}

/// Guards against a scheduler whose address for operators has no bounds.
#[test]
fn a_scheduler_stands_crowds() {
    let head = "GET /dump HTTP/1.1\r\nhost: x\r\n";
    let scripts = [
        many(format!("{head}\r\n"), Then::Stay),
        endless(format!("{head}{CHUNKED}1;x=")),
    ];
    for script in scripts {
        let _alone = alone();
        let mut system = start_entry("scheduler-crowd");
        let mut proc = system.schedulers.remove(0);
        let (addr, entry) = (proc.http, system.entries[0].http);
        check(&mut proc, addr, CALLERS, &[script], |when| {
            let status = common::get(addr, "/ready").map(|a| a.status);
            assert_eq!(status, Some(200), "{when}");
            let status = common::call(entry, "score", None).map(|a| a.status);
            assert_eq!(status, Some(200), "{when}");
        });
    }
}

/// Guards against connections that callers keep from others by requests without an end.
#[test]
fn an_entry_stands_more_callers_than_connections() {
    let key = authorization(Some(ORGANISATION_TOKEN));
    let request = format!("GET /x HTTP/1.1\r\nhost: x\r\n{key}\r\n");
    let callers = CONNECTIONS + 100;
    check_entry("entry-full", callers, &[many(request, Then::Stay)]);
}

/// Guards against an entry that keeps the large answers of callers that do not read them.
#[test]
fn an_entry_stands_large_answers_that_are_not_read() {
    let _alone = alone();
    let mut builder = Builder {
        entries: 1,
        schedulers: 1,
        entry_settings: json!({"connections": CONNECTIONS, "body_memory_bytes": 4 << 20}),
        ..Builder::default()
    };
    builder.backends.answer_bytes = 1 << 20;
    let mut system = builder.start("large-answers");
    let mut proc = system.entries.remove(0);
    let addr = proc.http;
    let head = entry_head("/call/refund/score", Some(ORGANISATION_TOKEN));
    let script = many(with_body(&head, "{}"), Then::Stay);
    check(&mut proc, addr, BODIES, &[script], |when| {
        let answer = common::call(addr, "score", None);
        let head = answer.map(|a| (a.status, a.head));
        let status = head.as_ref().map(|(status, _)| *status);
        assert_eq!(status, Some(200), "{when}: {head:?}");
    });
}
