//! Contract of the platform interfaces: the clients against the stand-in.

use standin::{platform, platform_cfg::PlatformCfg};
use store::{
    http::HttpTable,
    http_cfg::HttpCfg,
    table::{Commit, Txn},
};

/// Guards against a client and a stand-in that disagree about the format.
#[ntex::test]
async fn rows_written_by_the_client_can_be_read() {
    let platform = platform::start(PlatformCfg::default()).unwrap();
    let table = HttpTable::new(&platform.url(), HttpCfg::default())
        .await
        .unwrap();
    let txn = Txn::default()
        .check("a/1", 0)
        .put("a/1", "{\"x\":1}".into());
    let done = table.commit(&txn).await.unwrap();
    assert_eq!(done, Commit::Done { version: 1 });
    let conflict = table.commit(&txn).await.unwrap();
    let keys = vec!["a/1".into()];
    assert_eq!(conflict, Commit::Conflict { keys });
    let row = table.get("a/1").await.unwrap().unwrap();
    assert_eq!((row.version, row.value.as_str()), (1, "{\"x\":1}"));
    assert_eq!(table.scan("a/", "", 10).await.unwrap(), [row]);
}
