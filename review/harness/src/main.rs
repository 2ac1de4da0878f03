//! Cases of the review: each starts a small deployment, causes one trouble and checks one rule.
//!
//! `review-harness CASE FOLDER` writes `record.txt` into the folder. It exits with 0 if the rule
//! held, with 1 if it was broken and with 2 if the case could not run. With `TROUBLE=0` in the
//! environment it leaves out the trouble.

mod cases;
mod cluster;
mod http;
mod proxy;
mod server;
mod worker;

use std::{env, fs, path, process, time::Duration};

/// Outcome of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() {
    let args: Vec<String> = env::args().collect();
    if args.get(1).is_some_and(|a| a == "minion") {
        cluster::run_minion(&args[2]);
    }
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-harness CASE FOLDER");
        process::exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |v| v != "0");
    let watch = cluster::watch(Duration::from_secs(115), 2);
    let record = cluster::Record::new();
    let outcome = cases::run(case, trouble, &record);
    drop(watch);
    let (line, code) = match outcome {
        Ok(Verdict::Held(why)) => (format!("HELD: {why}"), 0),
        Ok(Verdict::Broken(why)) => (format!("BROKEN: {why}"), 1),
        Err(why) => (format!("COULD NOT RUN: {why}"), 2),
    };
    record.add(&line);
    println!("{line}");
    let file = path::Path::new(folder).join("record.txt");
    if let Err(e) = fs::write(&file, record.text()) {
        eprintln!("{}: {e}", file.display());
        process::exit(2);
    }
    process::exit(code);
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}
