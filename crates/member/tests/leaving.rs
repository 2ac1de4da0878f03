//! Members that leave beside renewals and registrations, on a table service that takes its time.

use std::rc::Rc;

use base::clock::Millis;
use member::{
    membership::{Membership, Renewal},
    rows::{MEMBERS_KEY, MemberList, MemberRole},
};
use ntex::{rt, time};
use standin::{
    faults::Faults,
    platform::{self, Handle},
    platform_cfg::PlatformCfg,
};
use store::{client::Table, http::HttpTable, http_cfg::HttpCfg};

/// Time that each call takes.
const CALL_TIME: Millis = Millis(100);

async fn start() -> (Handle, Table) {
    let faults = Faults {
        slow_ms: CALL_TIME,
        ..Faults::default()
    };
    let platform = platform::start(PlatformCfg {
        faults,
        ..PlatformCfg::default()
    });
    let platform = platform.unwrap();
    let table = HttpTable::new(&platform.url(), HttpCfg::default()).await;
    (platform, Table::from(table.unwrap()))
}

fn membership(id: u64) -> Rc<Membership> {
    let addr = "127.0.0.1:7101".parse().unwrap();
    Rc::new(Membership::new(id, addr, MemberRole::Entry))
}

async fn register(member: &Membership, table: &Table) {
    while member.renew(table, None).await != Ok(Renewal::Renewed) {}
}

fn rows(platform: &Handle) -> usize {
    platform.rows("member/").len()
}

fn listed(platform: &Handle) -> Vec<u64> {
    let list = MemberList::read(platform.row(MEMBERS_KEY).as_ref()).unwrap();
    list.members.iter().map(|m| m.id).collect()
}

/// Guards against a member that others go on counting, because a renewal that was under way while it
/// left has registered it again.
#[ntex::test]
async fn a_member_that_leaves_beside_its_renewals_stays_away() {
    let (platform, table) = start().await;
    let member = membership(1);
    register(&member, &table).await;
    assert_eq!((rows(&platform), listed(&platform)), (1, vec![1]));
    rt::spawn({
        let (member, table) = (member.clone(), table.clone());
        async move {
            loop {
                let _ = member.renew(&table, None).await;
                time::sleep(time::Millis(10)).await;
            }
        }
    })
    .detach();
    time::sleep(time::Millis(150)).await;
    member.leave(&table).await.unwrap();
    time::sleep(time::Millis(5 * CALL_TIME.0 as u32)).await;
    assert_eq!((rows(&platform), listed(&platform)), (0, vec![]));
    assert_eq!(member.renew(&table, None).await, Ok(Renewal::Left));
}

/// Guards against a member whose row stays because the list of members changed while it left.
#[ntex::test]
async fn a_member_leaves_beside_one_that_registers() {
    let (platform, table) = start().await;
    let (leaving, joining) = (membership(1), membership(2));
    register(&leaving, &table).await;
    let joined = rt::spawn({
        let table = table.clone();
        async move { register(&joining, &table).await }
    });
    // The list is read before the other member has changed it, and written after that.
    time::sleep(time::Millis(CALL_TIME.0 as u32 * 3 / 2)).await;
    leaving.leave(&table).await.unwrap();
    joined.await.unwrap();
    assert_eq!((rows(&platform), listed(&platform)), (1, vec![2]));
}
