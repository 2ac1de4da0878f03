//! Tests of the sorted map against the standard one.

use std::collections::BTreeMap;

use base::sorted::SortedMap;

quickcheck::quickcheck! {
    /// Guards against a wrong insertion point, which would hide entries from the binary search.
    fn behaves_like_the_standard_map(ops: Vec<(bool, u8, u8)>) -> bool {
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
}
