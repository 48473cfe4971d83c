//! Tests of the store client against the stand-in store on loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use kumquat_standins::store::{self, Store};
use kumquat_state::ident::{Epoch, Revision};
use kumquat_transport::store::{Client, Failure, Options, Watched};
use tokio::io::AsyncWriteExt as _;

/// Time of calls that have to succeed, far above what a slow machine needs.
const AMPLE: Duration = Duration::from_mins(1);

async fn store(options: store::Options) -> (Store, Client) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let store = store::bind(address, options).await.expect("free port");
    let client = client(&store, "vm-1");
    (store, client)
}

fn client(store: &Store, name: &str) -> Client {
    let options = Options {
        timeout: AMPLE,
        ..Options::new(&store.url(), name.parse().expect("name"))
    };
    Client::open(&options).expect("client")
}

async fn put(client: &Client, key: &str, value: &'static str, expected: u64) -> Revision {
    client
        .compare_and_swap(
            key,
            Bytes::from_static(value.as_bytes()),
            Revision(expected),
        )
        .await
        .expect("written")
}

/// Guards against a writer that overwrites what another one has written since its read.
#[tokio::test]
async fn a_lost_race_is_a_conflict_with_the_present_revision() {
    let (store, client) = store(store::Options::default()).await;
    put(&client, "ledger/head", "a", 0).await;
    put(&client, "ledger/head", "b", 1).await;

    let late = client
        .compare_and_swap("ledger/head", Bytes::from_static(b"c"), Revision(1))
        .await;
    let deletion = client.delete("ledger/head", Revision(1)).await;

    let conflict = Failure::Conflict {
        revision: Revision(2),
    };
    assert_eq!(late, Err(conflict.clone()));
    assert_eq!(deletion, Err(conflict));
    let value = client.get("ledger/head").await.expect("read");
    assert_eq!(value.expect("value").bytes, "b");
    store.stop().await;
}

/// Guards against a write whose answer is lost and which passes for one that did not happen.
#[tokio::test]
async fn a_lost_answer_is_unknown_and_resolved_by_reading_again() {
    let (store, client) = store(store::Options::default()).await;
    store.set_faults(|faults| faults.lose_answers = 1);

    let lost = client
        .compare_and_swap("k", Bytes::from_static(b"operation 1"), Revision(0))
        .await;
    let value = client.get("k").await.expect("read").expect("value");
    let next = put(&client, "k", "operation 2", value.revision.0).await;

    assert!(matches!(lost, Err(Failure::Unknown { .. })), "{lost:?}");
    assert_eq!(
        (value.bytes.as_ref(), value.revision),
        (&b"operation 1"[..], Revision(1))
    );
    assert_eq!(next, Revision(2));
    store.stop().await;
}

/// Guards against losing other answers than every k-th, and against counting writes that conflicted.
#[tokio::test]
async fn every_second_answer_can_be_lost() {
    let (store, client) = store(store::Options::default()).await;
    store.set_faults(|faults| faults.lose_every = 2);

    let mut lost = Vec::new();
    for revision in 0..4 {
        let write = client
            .compare_and_swap("k", Bytes::new(), Revision(revision))
            .await;
        lost.push(matches!(write, Err(Failure::Unknown { .. })));
    }

    assert_eq!(lost, [false, true, false, true]);
    assert_eq!(store.peek("k").map(|(_, revision)| revision), Some(4));
    store.stop().await;
}

/// Guards against an outage that passes for an unknown outcome, and against one that hits clients it was not set for.
#[tokio::test]
async fn an_outage_is_unavailable_for_the_named_clients_only() {
    let (store, cut_off) = store(store::Options::default()).await;
    let other = client(&store, "vm-2");
    store.set_faults(|faults| faults.outage_clients = vec!["vm-1".to_owned()]);

    let refused = cut_off.get("k").await;
    let served = other.get("k").await;
    store.set_faults(|faults| faults.outage = true);
    let all = other.get("k").await;
    store.set_faults(|faults| *faults = store::Faults::default());
    let again = cut_off.get("k").await;

    assert!(
        matches!(refused, Err(Failure::Unavailable { .. })),
        "{refused:?}"
    );
    assert_eq!(served, Ok(None));
    assert!(matches!(all, Err(Failure::Unavailable { .. })), "{all:?}");
    assert_eq!(again, Ok(None));
    assert_eq!(store.calls_of("vm-1").out, 1);
    store.stop().await;
}

/// Guards against a store that is gone and passes for one that may have written.
#[tokio::test]
async fn a_stopped_store_is_unavailable() {
    let (store, client) = store(store::Options::default()).await;
    store.stop().await;

    let write = client
        .compare_and_swap("k", Bytes::new(), Revision(0))
        .await;

    assert!(
        matches!(write, Err(Failure::Unavailable { .. })),
        "{write:?}"
    );
}

/// Guards against a refusal by the call rate that passes for a write; a rate of zero makes the burst the exact limit.
#[tokio::test]
async fn calls_above_the_rate_are_unavailable() {
    let options = store::Options {
        reads: 0,
        read_burst: 1,
        ..store::Options::default()
    };
    let (store, client) = store(options).await;

    let first = client.get("k").await;
    let second = client.list("").await;

    assert_eq!(first, Ok(None));
    assert!(
        matches!(second, Err(Failure::Unavailable { .. })),
        "{second:?}"
    );
    store.stop().await;
}

/// Guards against a slow store that holds a caller beyond its timeout.
#[tokio::test]
async fn a_slow_store_times_out_as_unknown() {
    let (store, _) = store(store::Options::default()).await;
    store.set_faults(|faults| faults.delay = AMPLE);
    let options = Options {
        timeout: Duration::from_millis(50),
        ..Options::new(&store.url(), "vm-1".parse().expect("name"))
    };
    let client = Client::open(&options).expect("client");

    let write = client
        .compare_and_swap("k", Bytes::new(), Revision(0))
        .await;

    assert!(matches!(write, Err(Failure::Unknown { .. })), "{write:?}");
    store.stop().await;
}

/// Guards against a store that forgets the write of a caller that gives up, so that late effects would go untested.
#[tokio::test]
async fn a_write_takes_effect_after_its_caller_has_given_up() {
    let (store, client) = store(store::Options::default()).await;
    store.set_faults(|faults| faults.delay = Duration::from_millis(50));
    let write = tokio::spawn({
        let client = client.clone();
        async move { put(&client, "k", "late", 0).await }
    });
    while store.calls().writes == 0 {
        tokio::task::yield_now().await;
    }

    write.abort();

    let effect = async {
        while store.peek("k").is_none() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(AMPLE, effect).await.expect("effect");
    store.stop().await;
}

/// Guards against two holders of one lease and against an epoch that does not grow.
#[tokio::test]
async fn lease_epochs_only_grow() {
    let (store, client) = store(store::Options::default()).await;
    let first = client
        .acquire("coordinator", "a", AMPLE)
        .await
        .expect("free");

    let refused = client.acquire("coordinator", "b", AMPLE).await;
    store.expire_lease("coordinator");
    let second = client
        .acquire("coordinator", "b", AMPLE)
        .await
        .expect("lapsed");
    let renewed_late = client.renew(&first, AMPLE).await;
    let released_late = client.release(&first).await;
    client.renew(&second, AMPLE).await.expect("held");
    client.release(&second).await.expect("held");
    let third = client
        .acquire("coordinator", "a", AMPLE)
        .await
        .expect("free");

    let held = |holder: &str, epoch| Failure::Held {
        holder: holder.to_owned(),
        epoch: Epoch(epoch),
    };
    assert_eq!(refused, Err(held("a", 1)));
    assert_eq!(renewed_late, Err(held("b", 2)));
    assert_eq!(released_late, Err(held("b", 2)));
    assert_eq!(
        (first.epoch, second.epoch, third.epoch),
        (Epoch(1), Epoch(2), Epoch(3))
    );
    store.stop().await;
}

/// Guards against a holder that can't get its lease back after the answer to its acquisition was lost.
#[tokio::test]
async fn a_holder_takes_its_own_lease_again_with_a_new_epoch() {
    let (store, client) = store(store::Options::default()).await;
    store.set_faults(|faults| faults.lose_answers = 1);

    let lost = client.acquire("coordinator", "a", AMPLE).await;
    let lease = client
        .acquire("coordinator", "a", AMPLE)
        .await
        .expect("own");

    assert!(matches!(lost, Err(Failure::Unknown { .. })), "{lost:?}");
    assert_eq!(lease.epoch, Epoch(2));
    store.stop().await;
}

/// Guards against a watch that misses a change, wakes for other keys, or counts more than one call while it waits.
#[tokio::test]
async fn a_watch_wakes_for_changes_under_its_prefix() {
    let (store, client) = store(store::Options::default()).await;
    put(&client, "bundle/head", "a", 0).await;
    let past = client.watch("bundle/", 0, AMPLE).await.expect("change");
    let reads = store.calls().reads;
    let watch = tokio::spawn({
        let client = client.clone();
        async move { client.watch("bundle/", past.generation, AMPLE).await }
    });
    while store.calls().reads == reads {
        tokio::task::yield_now().await;
    }

    put(&client, "ledger/head", "a", 0).await;
    put(&client, "bundle/head", "b", 1).await;

    let Watched { generation, keys } = watch.await.expect("task").expect("change");
    let keys = keys
        .iter()
        .map(|listed| (listed.key.as_str(), listed.revision));
    assert_eq!(keys.collect::<Vec<_>>(), [("bundle/head", Revision(2))]);
    assert_eq!((past.generation, generation), (1, 3));
    assert_eq!(store.calls().reads, reads + 1);
    store.stop().await;
}

/// Guards against a watch without an end, and against deletions that a watch does not show.
#[tokio::test]
async fn a_watch_shows_deletions_and_ends_after_its_time() {
    let (store, client) = store(store::Options::default()).await;
    put(&client, "bundle/head", "a", 0).await;
    client
        .delete("bundle/head", Revision(1))
        .await
        .expect("deleted");

    let deleted = client.watch("bundle/", 1, AMPLE).await.expect("change");
    let none = client
        .watch("bundle/", deleted.generation, Duration::from_millis(1))
        .await
        .expect("end of the wait");

    assert_eq!(deleted.keys.len(), 1);
    assert_eq!(deleted.keys[0].revision, Revision(0));
    assert_eq!(none.keys, []);
    store.stop().await;
}

/// Guards against stale reads that the stand-in does not give, without which callers' checks would go untested.
#[tokio::test]
async fn stale_reads_show_the_previous_value() {
    let (store, client) = store(store::Options::default()).await;
    put(&client, "k", "a", 0).await;
    put(&client, "k", "b", 1).await;
    store.set_faults(|faults| faults.stale_reads = true);

    let value = client.get("k").await.expect("read").expect("value");

    assert_eq!(
        (value.bytes.as_ref(), value.revision),
        (&b"a"[..], Revision(1))
    );
    store.stop().await;
}

/// Guards against keys that change the URL of a call.
#[tokio::test]
async fn keys_that_would_change_the_url_are_rejected() {
    let (store, client) = store(store::Options::default()).await;

    let read = client.get("k?after=1").await;

    assert!(matches!(read, Err(Failure::Rejected { .. })), "{read:?}");
    assert_eq!(store.calls().reads, 0);
    store.stop().await;
}

/// Guards against a faulty store whose endless answer fills the memory of its clients.
#[tokio::test]
async fn an_answer_above_the_limit_is_not_read_to_its_end() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the listener binds");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let part = vec![b'x'; 64 * 1024];
        let head = b"HTTP/1.1 200 OK\r\nx-revision: 1\r\ncontent-length: 1000000000\r\n\r\n";
        stream.write_all(head).await.expect("the head is sent");
        // The client ends the connection at its limit, which fails a later write.
        while stream.write_all(&part).await.is_ok() {}
    });
    let options = Options {
        timeout: AMPLE,
        ..Options::new(&url, "vm-1".parse().expect("a name"))
    };
    let client = Client::open(&options).expect("the client opens");

    let answer = client.get("key").await;

    assert!(
        matches!(&answer, Err(Failure::Unknown { reason }) if reason.contains("more than 4194304 bytes")),
        "{answer:?}"
    );
    server.await.expect("the server ends");
}
