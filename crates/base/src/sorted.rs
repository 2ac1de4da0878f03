//! A map stored as a sorted vector.

use std::borrow::Borrow;

use serde::{Deserialize, Serialize};

/// A map that is stored as a vector sorted by key and looked up by binary search.
///
/// ```
/// use base::sorted::SortedMap;
///
/// let mut map = SortedMap::default();
/// map.insert(2, "b");
/// map.insert(1, "a");
/// assert_eq!(map.get(&1), Some(&"a"));
/// assert_eq!(map.iter().map(|(k, _)| *k).collect::<Vec<_>>(), [1, 2]);
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct SortedMap<K, V> {
    items: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self { items: Vec::new() }
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    fn search<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: Borrow<Q>,
    {
        self.items.binary_search_by(|(k, _)| k.borrow().cmp(key))
    }

    /// Returns a reference to the value of `key`.
    ///
    /// ```
    /// let map = base::sorted::SortedMap::<u8, u8>::default();
    /// assert_eq!(map.get(&1), None);
    /// ```
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.search(key).ok().map(|i| &self.items[i].1)
    }

    /// Returns a mutable reference to the value of `key`.
    ///
    /// ```
    /// let mut map = base::sorted::SortedMap::from_iter([(1, 5)]);
    /// *map.get_mut(&1).unwrap() += 1;
    /// assert_eq!(map.get(&1), Some(&6));
    /// ```
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        self.search(key).ok().map(|i| &mut self.items[i].1)
    }

    /// Returns a mutable reference to the value of `key`; a missing key is inserted with the
    /// default value.
    ///
    /// ```
    /// let mut map = base::sorted::SortedMap::<&str, u32>::default();
    /// *map.get_or_default("a") += 1;
    /// assert_eq!(map.get("a"), Some(&1));
    /// ```
    pub fn get_or_default(&mut self, key: K) -> &mut V
    where
        V: Default,
    {
        let i = match self.items.binary_search_by(|(k, _)| k.cmp(&key)) {
            Ok(i) => i,
            Err(i) => {
                self.items.insert(i, (key, V::default()));
                i
            }
        };
        &mut self.items[i].1
    }

    /// Sets the value of `key` and returns the previous one.
    ///
    /// ```
    /// let mut map = base::sorted::SortedMap::default();
    /// assert_eq!(map.insert(1, 'a'), None);
    /// assert_eq!(map.insert(1, 'b'), Some('a'));
    /// ```
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.items.binary_search_by(|(k, _)| k.cmp(&key)) {
            Ok(i) => Some(std::mem::replace(&mut self.items[i].1, value)),
            Err(i) => {
                self.items.insert(i, (key, value));
                None
            }
        }
    }

    /// Removes `key` and returns its value.
    ///
    /// ```
    /// let mut map = base::sorted::SortedMap::from_iter([(1, 'a')]);
    /// assert_eq!(map.remove(&1), Some('a'));
    /// assert!(map.is_empty());
    /// ```
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        self.search(key).ok().map(|i| self.items.remove(i).1)
    }

    /// Keeps only the entries for which `f` is true.
    ///
    /// ```
    /// let mut map = base::sorted::SortedMap::from_iter([(1, 'a'), (2, 'b')]);
    /// map.retain(|k, _| *k > 1);
    /// assert_eq!(map.len(), 1);
    /// ```
    pub fn retain(&mut self, mut f: impl FnMut(&K, &mut V) -> bool) {
        self.items.retain_mut(|(k, v)| f(k, v));
    }
}

impl<K, V> SortedMap<K, V> {
    /// Iterates over the entries in key order.
    ///
    /// ```
    /// let map = base::sorted::SortedMap::from_iter([(2, 'b'), (1, 'a')]);
    /// assert_eq!(map.iter().next(), Some((&1, &'a')));
    /// ```
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + Clone {
        self.items.iter().map(|(k, v)| (k, v))
    }

    /// Returns the entry at a position in key order.
    ///
    /// ```
    /// let map = base::sorted::SortedMap::from_iter([(1, 'a'), (2, 'b')]);
    /// assert_eq!(map.nth(1), Some((&2, &'b')));
    /// assert_eq!(map.nth(2), None);
    /// ```
    pub fn nth(&self, position: usize) -> Option<(&K, &V)> {
        self.items.get(position).map(|(k, v)| (k, v))
    }

    /// Iterates over the entries in key order, with mutable references to the values.
    ///
    /// ```
    /// let mut map = base::sorted::SortedMap::from_iter([(1, 1)]);
    /// map.iter_mut().for_each(|(_, v)| *v += 1);
    /// assert_eq!(map.get(&1), Some(&2));
    /// ```
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.items.iter_mut().map(|(k, v)| (&*k, v))
    }

    /// Iterates over the keys in ascending order.
    ///
    /// ```
    /// let map = base::sorted::SortedMap::from_iter([(1, 'a')]);
    /// assert_eq!(map.keys().count(), 1);
    /// ```
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> + Clone {
        self.items.iter().map(|(k, _)| k)
    }

    /// Iterates over the values in key order.
    ///
    /// ```
    /// let map = base::sorted::SortedMap::from_iter([(1, 'a')]);
    /// assert_eq!(map.values().next(), Some(&'a'));
    /// ```
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + Clone {
        self.items.iter().map(|(_, v)| v)
    }

    /// Returns the number of entries.
    ///
    /// ```
    /// assert_eq!(base::sorted::SortedMap::<u8, u8>::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there are no entries.
    ///
    /// ```
    /// assert!(base::sorted::SortedMap::<u8, u8>::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(iter: I) -> Self {
        let mut map = Self::default();
        for (k, v) in iter {
            map.insert(k, v);
        }
        map
    }
}
