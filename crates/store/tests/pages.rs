//! Pages of whole tables on a link that is narrow, fast or silent.

use std::{cell::Cell, rc::Rc};

use base::clock::Millis;
use store::{pages::Pages, table::StoreError};
use tokio::time;
use transfer::exchange::Exchange;

const FULL: usize = 100 << 10;

async fn sleep(t: Millis) {
    time::sleep(t.to_duration()).await;
}

/// Guards against a load that never ends on a narrow link: each page was read several times at
/// once, and given up before the first answer was complete.
#[ntex::test]
async fn a_page_on_a_narrow_link_is_read_once() {
    let reads = Cell::new(0);
    let read = async |_, _| {
        reads.set(reads.get() + 1);
        sleep(Millis(700)).await;
        Ok(())
    };
    assert_eq!(Pages::default().read(read).await, Ok(()));
    assert_eq!(reads.get(), 1);
}

/// Guards against a page that is lost with a connection that has gone silent.
#[ntex::test]
async fn a_page_on_a_silent_connection_is_read_again() {
    let reads = Cell::new(0);
    let read = async |_, _| {
        if reads.replace(reads.get() + 1) == 0 {
            sleep(Millis::from_secs(60)).await;
        }
        Ok(())
    };
    assert_eq!(Pages::default().read(read).await, Ok(()));
    assert_eq!(reads.get(), 2);
}

/// Guards against a load that waits for a store which answers no read at all.
#[ntex::test]
async fn a_page_of_a_silent_store_is_given_up() {
    let read = async |_, _| {
        sleep(Millis::from_secs(60)).await;
        Ok(())
    };
    let page = time::timeout(Millis(3_000).to_duration(), Pages::default().read(read)).await;
    assert!(
        matches!(page, Ok(Err(StoreError::NotDone { .. }))),
        "{page:?}"
    );
}

/// Guards against a page that is given up, or requested once more, while it arrives.
#[ntex::test]
async fn a_page_that_arrives_slowly_is_read_once() {
    let reads = Cell::new(0);
    let read = async |_, exchange: Rc<Exchange>| {
        reads.set(reads.get() + 1);
        for _ in 0..6 {
            sleep(Millis(500)).await;
            exchange.record(1_000);
        }
        Ok(())
    };
    assert_eq!(Pages::default().read(read).await, Ok(()));
    assert_eq!(reads.get(), 1);
}

/// Guards against pages that fill a narrow link, and against small ones on a fast link.
#[ntex::test]
async fn pages_shrink_on_a_narrow_link_and_grow_on_a_fast_one() {
    let pages = Pages::default();
    let slow = async |_, exchange: Rc<Exchange>| {
        exchange.record(FULL / 2);
        sleep(Millis(320)).await;
        exchange.record(FULL / 2);
        Ok(())
    };
    pages.read(slow).await.unwrap();
    assert_eq!((pages.rows(), pages.max_under_way()), (50, 2));
    let fast = async |_, exchange: Rc<Exchange>| {
        exchange.record(FULL);
        Ok(())
    };
    for _ in 0..20 {
        pages.read(fast).await.unwrap();
    }
    assert_eq!((pages.rows(), pages.max_under_way()), (500, 16));
}

/// Guards against a slow store whose tables are read in more calls than necessary.
#[ntex::test]
async fn pages_of_a_slow_store_on_a_fast_link_keep_their_size() {
    let pages = Pages::default();
    let read = async |_, exchange: Rc<Exchange>| {
        sleep(Millis(400)).await;
        exchange.record(FULL);
        Ok(())
    };
    pages.read(read).await.unwrap();
    assert_eq!((pages.rows(), pages.max_under_way()), (100, 4));
}

/// Guards against a burst on a link that has become narrow since the last page.
#[ntex::test]
async fn limits_do_not_grow_across_an_idle_time() {
    let pages = Pages::default();
    let fast = async |_, exchange: Rc<Exchange>| {
        exchange.record(FULL);
        Ok(())
    };
    for _ in 0..20 {
        pages.read(fast).await.unwrap();
    }
    sleep(Millis(5_100)).await;
    let rows = pages.read(async |rows, _| Ok(rows)).await;
    assert_eq!(rows, Ok(100));
    assert_eq!(pages.max_under_way(), 5, "one more after a fast page");
}

/// Guards against tables with few rows that are read a few at a time on a fast link.
#[ntex::test]
async fn small_pages_only_raise_the_number_under_way() {
    let pages = Pages::default();
    for _ in 0..20 {
        pages.read(async |_, _| Ok(())).await.unwrap();
    }
    assert_eq!((pages.rows(), pages.max_under_way()), (100, 16));
}
