//! Map backed by a vector that is sorted by key.

use std::borrow;

/// Map with unique keys in ascending order.
///
/// ```
/// use fireflyspool::sorted;
///
/// let mut map = sorted::SortedMap::new();
/// map.insert("b".to_owned(), 2);
/// map.insert("a".to_owned(), 1);
/// assert_eq!(map.get("a"), Some(&1));
/// assert_eq!(map.keys().collect::<Vec<_>>(), ["a", "b"]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct SortedMap<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn position<Q>(&self, key: &Q) -> Result<usize, usize>
    where
        K: borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.entries
            .binary_search_by(|entry| entry.0.borrow().cmp(key))
    }

    /// Value of a key.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let position = self.position(key).ok()?;
        Some(&self.entries[position].1)
    }

    /// Mutable value of a key.
    pub fn get_mut<Q>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let position = self.position(key).ok()?;
        Some(&mut self.entries[position].1)
    }

    /// Whether a key is present.
    pub fn contains_key<Q>(&self, key: &Q) -> bool
    where
        K: borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.position(key).is_ok()
    }

    /// Sets the value of a key and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(position) => Some(std::mem::replace(&mut self.entries[position].1, value)),
            Err(position) => {
                self.entries.insert(position, (key, value));
                None
            }
        }
    }

    /// Mutable value of a key; an absent key is inserted with the value of `make`.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let position = match self.position(&key) {
            Ok(position) => position,
            Err(position) => {
                self.entries.insert(position, (key, make()));
                position
            }
        };
        &mut self.entries[position].1
    }

    /// Removes a key and returns its value.
    pub fn remove<Q>(&mut self, key: &Q) -> Option<V>
    where
        K: borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let position = self.position(key).ok()?;
        Some(self.entries.remove(position).1)
    }

    /// Keeps only the entries for which the predicate holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries
            .retain_mut(|entry| keep(&entry.0, &mut entry.1));
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Removes and returns the entry with the smallest key.
    pub fn pop_first(&mut self) -> Option<(K, V)> {
        if self.entries.is_empty() {
            return None;
        }
        Some(self.entries.remove(0))
    }

    /// Entry with the smallest key.
    pub fn first(&self) -> Option<(&K, &V)> {
        self.entries.first().map(|entry| (&entry.0, &entry.1))
    }

    /// Entry with the greatest key.
    pub fn last(&self) -> Option<(&K, &V)> {
        self.entries.last().map(|entry| (&entry.0, &entry.1))
    }

    /// Entries in ascending order of their keys.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.entries.iter().map(|entry| (&entry.0, &entry.1))
    }

    /// Entries in ascending order of their keys, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries
            .iter_mut()
            .map(|entry| (&entry.0, &mut entry.1))
    }

    /// Entries whose keys are at least `bound`, in ascending order of their keys.
    pub fn range_from<Q>(&self, bound: &Q) -> impl Iterator<Item = (&K, &V)>
    where
        K: borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let start = self
            .entries
            .partition_point(|entry| entry.0.borrow() < bound);
        self.entries[start..]
            .iter()
            .map(|entry| (&entry.0, &entry.1))
    }

    /// Keys in ascending order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> {
        self.entries.iter().map(|entry| &entry.0)
    }

    /// Values in ascending order of their keys.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> {
        self.entries.iter().map(|entry| &entry.1)
    }

    /// Mutable values in ascending order of their keys.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.entries.iter_mut().map(|entry| &mut entry.1)
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut map = Self::new();
        for (key, value) in entries {
            map.insert(key, value);
        }
        map
    }
}

impl<K, V> IntoIterator for SortedMap<K, V> {
    type Item = (K, V);
    type IntoIter = std::vec::IntoIter<(K, V)>;

    fn into_iter(self) -> Self::IntoIter {
        self.entries.into_iter()
    }
}
