//! The platform adapter's store client against faults of the store that its published protocol permits.

use std::time::Duration;

use serde_json::json;
use siskinrock::gateway::directory::{Directory, Fault, Record, Removed};
use siskinrock::gateway::instance::Registration;
use siskinrock::log;
use siskinrock::platform::store::Store;
use siskinrock_fakes::site::{KEY, Site, config};
use siskinrock_fakes::store;
use tokio::task::LocalSet;
use yare::parameterized;

/// Room for any list of these tests.
const LIST_BYTES: usize = 1 << 20;
/// A list of 130 pages that are answered at once.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);
/// As long as the store allows, less the prefix and a number.
const LONGEST_KEY: &str = match std::str::from_utf8(&[b'+'; 190]) {
    Ok(key) => key,
    Err(_) => "",
};

fn registration() -> Registration {
    Registration {
        id: "edge-1".into(),
        incarnation: 7,
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        front_addr: "127.0.0.1:2".parse().unwrap(),
        domain: "ranong-hall".into(),
    }
}

async fn with_store<R>(check: impl AsyncFnOnce(Site, Store) -> R) -> R {
    let site = Site::start(2, 15).await;
    let client = Store::new(site.store.addr, None, LIST_BYTES, log::discard());
    LocalSet::new().run_until(check(site, client)).await
}

#[tokio::test]
async fn a_listing_of_several_pages_is_complete() {
    with_store(async |site, client| {
        let listing = client.list(&|_| {}).await.unwrap();
        let upstreams =
            listing.records.iter().filter(|record| matches!(record, Record::Upstream(_)));
        assert_eq!(upstreams.count(), site.engines.len() + site.services.len());
        let configs = listing.records.iter().filter(|record| matches!(record, Record::Config(_)));
        assert_eq!(configs.count(), 1);
    })
    .await;
}

/// Guards against keys that are cut, read as others or refused where a page begins after them.
#[parameterized(
    plus = { "lab+bench" },
    escape = { "lab%20bench" },
    fragment = { "lab#bench" },
    parameter = { "lab&path-prefix=x" },
    blank = { "lab bench" },
    beyond_ascii = { "läb-bänk-実験" },
    control = { "lab\u{7}\u{0}\nbench" },
    slashes = { "../lab//bench?" },
    longest = { LONGEST_KEY },
)]
#[test_macro(tokio::test)]
async fn odd_keys_at_the_ends_of_pages_are_read_past(key: &str) {
    with_store(async |site, client| {
        for prefix in ["servers/", "lab/"] {
            for number in 0..60 {
                let key = format!("{prefix}{key}{number:02}");
                site.store.put(&key, &json!({"owner": "lab", "rack": number}));
            }
        }
        site.store.set_page(1);
        let listing = tokio::time::timeout(LIST_TIMEOUT, client.list(&|_| {})).await;
        let listing = listing.expect("the list ends").unwrap();
        let is_upstream = |record: &&Record| matches!(record, Record::Upstream(_));
        let upstreams = listing.records.iter().filter(is_upstream).count();
        assert_eq!(upstreams, site.engines.len() + site.services.len());
        let is_foreign = |record: &&Record| matches!(record, Record::ForeignUpstream { .. });
        assert_eq!(listing.records.iter().filter(is_foreign).count(), 60);
    })
    .await;
}

/// Guards against one key that can't be read and takes all others of its page or its watch with it.
#[parameterized(surrogate = { store::LONE_SURROGATE }, bytes = { store::NO_UTF8 })]
#[test_macro(tokio::test)]
async fn a_key_that_cant_be_read_costs_no_other(key: &str) {
    with_store(async |site, client| {
        let list = async || client.list(&|_| {}).await.unwrap();
        let revision = list().await.revision;
        site.store.put(&format!("servers/{key}"), &json!({"owner": "lab"}));
        let is_upstream = |record: &&Record| matches!(record, Record::Upstream(_));
        let listing = list().await;
        let upstreams = listing.records.iter().filter(is_upstream).count();
        assert_eq!(upstreams, site.engines.len() + site.services.len());
        site.store.put("op/config", &config(9, &[KEY], &[]));
        let changes = client.watch(revision, 0).await.unwrap();
        let is_newest =
            |record: &Record| matches!(record, Record::Config(config) if config.version == 9);
        assert!(changes.records.iter().any(is_newest), "{changes:?}");
        assert!(changes.revision > listing.revision, "the watch moves on");
    })
    .await;
}

/// Guards against ordinary keys that are written in another way than they always were.
#[tokio::test]
async fn an_ordinary_key_stands_in_a_target_as_it_is() {
    with_store(async |site, client| {
        site.store.set_page(1);
        client.list(&|_| {}).await.unwrap();
        let target =
            format!("/siskinrock/kv-range?path-prefix=&after=servers/{}", site.engines[0].id);
        assert!(site.store.targets().contains(&target), "{:?}", site.store.targets());
    })
    .await;
}

#[tokio::test]
async fn a_watch_returns_the_last_change_of_each_record() {
    with_store(async |site, client| {
        let revision = client.list(&|_| {}).await.unwrap().revision;
        site.store.put("op/config", &config(3, &[KEY], &[]));
        site.store.put("op/config", &config(9, &[KEY], &[]));
        site.store.remove(&format!("servers/{}", site.engines[0].id));
        let changes = client.watch(revision, 1_000).await.unwrap();
        let versions: Vec<u64> = changes
            .records
            .iter()
            .filter_map(|record| match record {
                Record::Config(config) => Some(config.version),
                _ => None,
            })
            .collect();
        assert_eq!(versions, [9]);
        assert_eq!(changes.removed, [Removed::Upstream((*site.engines[0].id).into())]);
        let quiet = client.watch(changes.revision, 50).await.unwrap();
        assert!(quiet.records.is_empty());
        assert_eq!(quiet.revision, changes.revision);
    })
    .await;
}

#[tokio::test]
async fn a_watch_beyond_the_kept_history_is_reported() {
    with_store(async |site, client| {
        let revision = client.list(&|_| {}).await.unwrap().revision;
        site.store.put("op/config", &config(3, &[KEY], &[]));
        site.store.forget_history();
        assert_eq!(client.watch(revision, 1_000).await.unwrap_err(), Fault::HistoryGone);
    })
    .await;
}

#[tokio::test]
async fn a_refused_call_has_no_effect() {
    with_store(async |site, client| {
        site.store.fail(store::Fault::Busy);
        let refused = client.register(&registration(), 5_000).await.unwrap_err();
        assert_eq!(refused, Fault::Refused { status: 503 });
        site.store.fail(store::Fault::None);
        client.register(&registration(), 5_000).await.unwrap();
        assert_eq!(site.store.keys("siskinrock/").len(), 1);
    })
    .await;
}

#[tokio::test]
async fn a_lost_answer_breaks_only_its_connection() {
    with_store(async |site, client| {
        client.list(&|_| {}).await.unwrap();
        site.store.fail(store::Fault::LostAnswers);
        assert!(matches!(client.list(&|_| {}).await.unwrap_err(), Fault::Silent { .. }));
        site.store.fail(store::Fault::None);
        client.list(&|_| {}).await.unwrap();
    })
    .await;
}

#[tokio::test]
async fn an_ended_lease_is_reported() {
    with_store(async |site, client| {
        let lease = client.register(&registration(), 5_000).await.unwrap();
        client.renew(lease).await.unwrap();
        client.release(lease).await.unwrap();
        assert_eq!(client.renew(lease).await.unwrap_err(), Fault::LeaseEnded);
        assert!(site.store.keys("siskinrock/").is_empty());
    })
    .await;
}
