//! Budget for additional attempts.

use crate::outcome;

/// One token; levels are counted in thousandths of a token.
const TOKEN: u64 = 1_000;

/// Level at the start, so that the first queries of a process can be retried and hedged.
const INITIAL_LEVEL: u64 = 16 * TOKEN;

/// Level that only urgent requests may use. Without it other requests would use up
/// the budget when many attempts are slow at once.
const URGENT_RESERVE: u64 = 8 * TOKEN;

/// Token bucket that first attempts fill by a share and additional attempts drain.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    level: u64,
    capacity: u64,
}

impl TokenBucket {
    /// Tokens in a new bucket.
    pub const INITIAL_TOKENS: u64 = INITIAL_LEVEL / TOKEN;

    /// Bucket that holds at most `capacity` tokens, which bounds the burst of
    /// additional load after a quiet time; at least [`TokenBucket::INITIAL_TOKENS`].
    pub fn new(capacity: u64) -> Self {
        Self {
            level: INITIAL_LEVEL,
            capacity: capacity.max(Self::INITIAL_TOKENS) * TOKEN,
        }
    }

    /// Adds `share` permille of a token for each first attempt that was sent.
    pub fn earn(&mut self, attempts: u64, share: u64) {
        self.level = (self.level + attempts * share).min(self.capacity);
    }

    /// Takes one token and returns true if this kind may use one and `share`,
    /// the setting in permille, is not zero.
    pub fn spend(&mut self, kind: outcome::Kind, share: u64) -> bool {
        let reserve = match kind {
            outcome::Kind::Urgent => 0,
            outcome::Kind::Interactive | outcome::Kind::Deferrable => URGENT_RESERVE,
        };
        if share == 0 || self.level < TOKEN + reserve {
            return false;
        }
        self.level -= TOKEN;
        true
    }
}
