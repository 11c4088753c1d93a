//! Budget for additional attempts.

/// One token, in the thousandths that the budget is counted in.
const TOKEN: u64 = 1_000;

/// Most tokens that can be saved up. Bounds the burst of additional load after
/// a quiet time to about one attempt for every shard of a wide query.
const CAPACITY: u64 = 64 * TOKEN;

/// Tokens at the start, so that the first queries of a process can be repaired too.
const INITIAL: u64 = 8 * TOKEN;

/// Grows by a share of first attempts and pays for additional ones.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    level: u64,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self { level: INITIAL }
    }
}

impl TokenBucket {
    /// Additional attempts that can be paid for without earning more.
    pub const INITIAL_TOKENS: u64 = INITIAL / TOKEN;

    /// Earns a share, in permille, of first attempts that were sent.
    pub fn earn(&mut self, firsts: u64, share: u64) {
        self.level = (self.level + firsts * share).min(CAPACITY);
    }

    /// Takes one token if there is one and the share is not zero.
    pub fn spend(&mut self, share: u64) -> bool {
        if share == 0 || self.level < TOKEN {
            return false;
        }
        self.level -= TOKEN;
        true
    }
}
