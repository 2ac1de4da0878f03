//! Compares the sorted map with `BTreeMap`.

use std::collections::BTreeMap;

use base::sorted::SortedMap;
use quickcheck::{Gen, QuickCheck};

/// Guards against a wrong insertion point, which would hide entries from the binary search.
#[test]
fn behaves_like_btree_map() {
    fn prop(ops: Vec<(bool, u8, u8)>) -> bool {
        let mut map = SortedMap::default();
        let mut model = BTreeMap::new();
        for (insert, k, v) in ops {
            if insert {
                assert_eq!(map.insert(k, v), model.insert(k, v));
            } else {
                assert_eq!(map.remove(&k), model.remove(&k));
            }
        }
        map.iter().eq(model.iter())
    }
    let rng = Gen::from_size_and_seed(200, 1);
    QuickCheck::new()
        .rng(rng)
        .quickcheck(prop as fn(Vec<(bool, u8, u8)>) -> bool);
}
