//! Tests of the client of the platform's list of VMs.

use kumquat_transport::list::{Client, State};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// Guards against a list that can't be used because of one odd entry.
#[tokio::test]
async fn an_odd_entry_costs_no_other_entry() {
    let entry = |name: &str, address: &str| {
        format!(r#"{{"vm":"{name}","address":"{address}","state":"leaving"}}"#)
    };
    let nested = format!("{}{}", "[".repeat(500), "]".repeat(500));
    let body = format!(
        r#"[{}, {}, {nested}, null, 1e999, {{"vm":"vm-3"}}, {}]"#,
        entry("vm-1", "127.0.0.1:7000"),
        entry("vm-2", "127.0.0.1:65536"),
        entry("vm-4", "127.0.0.1:7000"),
    );
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("connection");
        let _length = stream.read(&mut [0; 4_096]).await.expect("call");
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(answer.as_bytes()).await.expect("caller");
    });

    let client = Client::open(&format!("http://{address}")).expect("client");
    let vms = client.fetch().await.expect("list");

    let names: Vec<String> = vms.iter().map(|vm| vm.vm.to_string()).collect();
    assert_eq!(names, ["vm-1", "vm-4"]);
    assert!(vms.iter().all(|vm| vm.state == State::Leaving));
}
