use std::collections::HashMap;

use mulberrymill::unit::Share;

/// Change of the prefix cache; the value is the chained hash of the block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    Stored(u64),
    Removed(u64),
}

/// Shared block of a prompt prefix.
#[derive(Debug)]
struct CachedBlock {
    /// Number of sequences that use the block; only a block without any is evicted.
    references: u32,
    /// Value of [`Cache::use_counter`] at the last use.
    last_use: u64,
}

/// KV cache: blocks private to a sequence, and shared blocks of prompt prefixes.
#[derive(Debug)]
pub(super) struct Cache {
    /// Total number of blocks.
    capacity: u64,
    private_blocks: u64,
    /// Number of referenced shared blocks, kept so that a load report need not visit every block.
    shared_in_use: u64,
    shared: HashMap<u64, CachedBlock>,
    /// Logical clock that orders the blocks by last use.
    use_counter: u64,
    /// Changes since the last call of [`super::Model::record_events`].
    pub changes: Vec<Change>,
}

impl Cache {
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            private_blocks: 0,
            shared_in_use: 0,
            shared: HashMap::new(),
            use_counter: 0,
            changes: Vec::new(),
        }
    }

    /// Share of the blocks that sequences use.
    pub fn utilization(&self) -> Share {
        let used = self.private_blocks + self.shared_in_use;
        #[expect(clippy::cast_precision_loss, reason = "block counts are small")]
        Share::new(used as f64 / self.capacity as f64)
    }

    /// Number of leading blocks of `hashes` that are cached.
    pub fn cached_prefix_len(&self, hashes: &[u64]) -> usize {
        hashes
            .iter()
            .take_while(|hash| self.shared.contains_key(hash))
            .count()
    }

    /// Adds a reference to each block that is cached.
    pub fn acquire(&mut self, hashes: &[u64]) {
        self.use_counter += 1;
        for hash in hashes {
            if let Some(block) = self.shared.get_mut(hash) {
                self.shared_in_use += u64::from(block.references == 0);
                block.references += 1;
                block.last_use = self.use_counter;
            }
        }
    }

    /// Frees private blocks and drops references to shared ones, which stay cached until evicted.
    pub fn release(&mut self, hashes: &[u64], private: u64) {
        self.private_blocks = self.private_blocks.saturating_sub(private);
        for hash in hashes {
            if let Some(block) = self.shared.get_mut(hash) {
                self.shared_in_use -= u64::from(block.references == 1);
                block.references = block.references.saturating_sub(1);
            }
        }
    }

    /// Reserves private blocks, evicting the least recently used unreferenced blocks if needed.
    /// Returns false if the space is not sufficient.
    pub fn reserve(&mut self, count: u64) -> bool {
        while self.private_blocks + self.shared.len() as u64 + count > self.capacity {
            if !self.evict() {
                return false;
            }
        }
        self.private_blocks += count;
        true
    }

    /// Converts private blocks of a processed prompt to shared ones referenced by the sequence.
    pub fn publish(&mut self, hashes: &[u64]) {
        self.use_counter += 1;
        self.private_blocks = self.private_blocks.saturating_sub(hashes.len() as u64);
        for hash in hashes {
            let last_use = self.use_counter;
            let changes = &mut self.changes;
            let block = self.shared.entry(*hash).or_insert_with(|| {
                changes.push(Change::Stored(*hash));
                CachedBlock {
                    references: 0,
                    last_use: 0,
                }
            });
            self.shared_in_use += u64::from(block.references == 0);
            block.references += 1;
            block.last_use = last_use;
        }
    }

    /// Stores blocks of another engine while there is space. Returns how many leading blocks are
    /// cached afterwards.
    pub fn import(&mut self, hashes: &[u64]) -> usize {
        let cached = self.cached_prefix_len(hashes);
        self.acquire(&hashes[..cached]);
        let mut end = cached;
        while end < hashes.len() && self.reserve(1) {
            self.publish(&hashes[end..=end]);
            end += 1;
        }
        self.release(&hashes[..end], 0);
        end
    }

    /// Evicts the least recently used unreferenced block. Returns false if there is none.
    fn evict(&mut self) -> bool {
        let evictable = self
            .shared
            .iter()
            .filter(|(_, block)| block.references == 0);
        let oldest = evictable.min_by_key(|(hash, block)| (block.last_use, **hash));
        let Some(hash) = oldest.map(|(hash, _)| *hash) else {
            return false;
        };
        self.shared.remove(&hash);
        self.changes.push(Change::Removed(hash));
        true
    }
}
