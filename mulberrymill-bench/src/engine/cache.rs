use std::collections::HashMap;

use mulberrymill::unit::Share;

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    Stored(u64),
    Removed(u64),
}

#[derive(Debug)]
struct Block {
    holders: u32,
    used: u64,
}

/// KV blocks: private ones of sequences, and shared ones that hold prompt prefixes.
#[derive(Debug)]
pub(super) struct Cache {
    size: u64,
    private: u64,
    /// Shared blocks with holders, counted so that a load report need not visit every block.
    held: u64,
    shared: HashMap<u64, Block>,
    uses: u64,
    pub changes: Vec<Change>,
}

impl Cache {
    pub fn new(size: u64) -> Self {
        Self {
            size,
            private: 0,
            held: 0,
            shared: HashMap::new(),
            uses: 0,
            changes: Vec::new(),
        }
    }

    pub fn share(&self) -> Share {
        let used = self.private + self.held;
        #[expect(clippy::cast_precision_loss, reason = "block counts are small")]
        Share::new(used as f64 / self.size as f64)
    }

    /// Length of the longest prefix of `hashes` in the cache.
    pub fn prefix(&self, hashes: &[u64]) -> usize {
        hashes
            .iter()
            .take_while(|hash| self.shared.contains_key(hash))
            .count()
    }

    /// Takes hold of blocks that are in the cache.
    pub fn hold(&mut self, hashes: &[u64]) {
        self.uses += 1;
        for hash in hashes {
            if let Some(block) = self.shared.get_mut(hash) {
                self.held += u64::from(block.holders == 0);
                block.holders += 1;
                block.used = self.uses;
            }
        }
    }

    /// Gives up blocks; they stay cached until their space is needed.
    pub fn release(&mut self, hashes: &[u64], private: u64) {
        self.private = self.private.saturating_sub(private);
        for hash in hashes {
            if let Some(block) = self.shared.get_mut(hash) {
                self.held -= u64::from(block.holders == 1);
                block.holders = block.holders.saturating_sub(1);
            }
        }
    }

    /// Reserves private blocks, evicting the least recently used unheld blocks if needed.
    pub fn reserve(&mut self, count: u64) -> bool {
        while self.private + self.shared.len() as u64 + count > self.size {
            if !self.evict() {
                return false;
            }
        }
        self.private += count;
        true
    }

    /// Turns private blocks of a processed prompt into shared ones that the sequence holds.
    pub fn publish(&mut self, hashes: &[u64]) {
        self.uses += 1;
        self.private = self.private.saturating_sub(hashes.len() as u64);
        for hash in hashes {
            let uses = self.uses;
            let changes = &mut self.changes;
            let block = self.shared.entry(*hash).or_insert_with(|| {
                changes.push(Change::Stored(*hash));
                Block {
                    holders: 0,
                    used: 0,
                }
            });
            self.held += u64::from(block.holders == 0);
            block.holders += 1;
            block.used = uses;
        }
    }

    /// Stores blocks of another engine while there is space; returns how many are now cached.
    pub fn import(&mut self, hashes: &[u64]) -> usize {
        let known = self.prefix(hashes);
        self.hold(&hashes[..known]);
        let mut end = known;
        while end < hashes.len() && self.reserve(1) {
            self.publish(&hashes[end..=end]);
            end += 1;
        }
        self.release(&hashes[..end], 0);
        end
    }

    fn evict(&mut self) -> bool {
        let free = self.shared.iter().filter(|(_, block)| block.holders == 0);
        let oldest = free.min_by_key(|(hash, block)| (block.used, **hash));
        let Some(hash) = oldest.map(|(hash, _)| *hash) else {
            return false;
        };
        self.shared.remove(&hash);
        self.changes.push(Change::Removed(hash));
        true
    }
}
