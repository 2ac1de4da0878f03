//! Tests of the client of the VM list against a server with odd entries.

use std::{
    io::{BufRead, BufReader, Write},
    net, thread,
};

use ntex::rt;
use store::{http_cfg::HttpCfg, vms::Vms};

/// Serves `body` as the answer to one request.
fn serve_once(body: String) -> net::SocketAddr {
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (tcp, _) = listener.accept().unwrap();
        let mut tcp = BufReader::new(tcp);
        let mut line = String::new();
        while tcp.read_line(&mut line).unwrap() > 2 {
            line.clear();
        }
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        tcp.get_mut().write_all((head + &body).as_bytes()).unwrap();
    });
    address
}

/// Guards against a list that is not followed any more because of one entry of another writer.
#[test]
fn an_odd_entry_does_not_hide_the_others() {
    let entry = |name: &str, address: &str| {
        format!(
            r#"{{"name":"{name}","address":{address},"data_centre":"d","state":"live",
            "role":{{"kind":"worker","rack":"r"}}}}"#
        )
    };
    let nested = "[".repeat(30_000) + &"]".repeat(30_000);
    let odd = [
        entry("port", "\"10.0.0.1:99999\""),
        entry("number", "1e999"),
        entry("nested", &nested),
        nested,
        "7".into(),
        entry("role", "\"10.0.0.1:80\"").replace("worker", "database"),
    ];
    for odd in odd {
        let good = entry("good", "\"10.0.0.1:80\"");
        let address = serve_once(format!(r#"{{"vms":[{odd},{good}]}}"#));
        rt::System::new("test", rt::DefaultRuntime).block_on(async move {
            let url = format!("http://{address}");
            let vms = Vms::new(&url, HttpCfg::default()).await.unwrap();
            let list = vms.list().await.unwrap();
            let names: Vec<_> = list.iter().map(|vm| vm.name.to_string()).collect();
            assert_eq!(names, ["good"]);
        });
    }
}
