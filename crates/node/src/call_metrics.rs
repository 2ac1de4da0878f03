//! Export of the account of outgoing calls in the Prometheus text format.

use std::fmt::Write;

use store::call_account::{CallAccount, LATENCY_BOUNDS, Outcome, Purpose, Traffic};

/// Returns the metrics of all purposes that have calls.
pub(crate) fn text(account: &CallAccount) -> String {
    let mut buf = String::new();
    write_counter(&mut buf, account, "node_calls_total", |t| t.calls);
    write_counter(&mut buf, account, "node_call_sent_bytes_total", |t| {
        t.sent_bytes
    });
    write_counter(&mut buf, account, "node_call_received_bytes_total", |t| {
        t.received_bytes
    });
    write_latencies(&mut buf, account);
    buf
}

fn write_counter(buf: &mut String, account: &CallAccount, name: &str, value: fn(Traffic) -> u64) {
    add(buf, format_args!("# TYPE {name} counter\n"));
    for purpose in Purpose::ALL {
        for outcome in Outcome::ALL {
            let traffic = account.traffic(purpose, outcome);
            if traffic.calls > 0 {
                let (purpose, outcome) = (purpose.name(), outcome.name());
                let value = value(traffic);
                add(
                    buf,
                    format_args!("{name}{{outcome=\"{outcome}\",purpose=\"{purpose}\"}} {value}\n"),
                );
            }
        }
    }
}

fn write_latencies(buf: &mut String, account: &CallAccount) {
    let name = "node_call_seconds";
    add(buf, format_args!("# TYPE {name} histogram\n"));
    for purpose in Purpose::ALL {
        let latency = account.latency(purpose);
        if latency.answers == 0 {
            continue;
        }
        let purpose = purpose.name();
        let mut sum = 0;
        for (bound, count) in LATENCY_BOUNDS.iter().zip(latency.buckets) {
            sum += count;
            let le = *bound as f64 / 1_000.0;
            add(
                buf,
                format_args!("{name}_bucket{{purpose=\"{purpose}\",le=\"{le}\"}} {sum}\n"),
            );
        }
        let (answers, seconds) = (latency.answers, latency.sum_ms as f64 / 1_000.0);
        add(
            buf,
            format_args!(
                "{name}_bucket{{purpose=\"{purpose}\",le=\"+Inf\"}} {answers}\n\
                 {name}_sum{{purpose=\"{purpose}\"}} {seconds}\n\
                 {name}_count{{purpose=\"{purpose}\"}} {answers}\n"
            ),
        );
    }
}

fn add(buf: &mut String, text: std::fmt::Arguments<'_>) {
    buf.write_fmt(text).expect("a string takes any text");
}
