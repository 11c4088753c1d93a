//! Budget for additional attempts.

use crate::outcome;

/// One token, in the thousandths that the budget is counted in.
const TOKEN: u64 = 1_000;

/// Tokens at the start, so that the first queries of a process can be repaired too.
const INITIAL: u64 = 16 * TOKEN;

/// Tokens that only urgent requests may use; others would leave them nothing
/// when many attempts are slow at once.
const URGENT_RESERVE: u64 = 8 * TOKEN;

/// Grows by a share of first attempts and pays for additional ones.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    level: u64,
    capacity: u64,
}

impl TokenBucket {
    /// Additional attempts that can be paid for without earning more.
    pub const INITIAL_TOKENS: u64 = INITIAL / TOKEN;

    /// A bucket that saves up at most this many tokens, which bounds the burst
    /// of additional load after a quiet time.
    pub fn new(capacity: u64) -> Self {
        Self {
            level: INITIAL,
            capacity: capacity.max(Self::INITIAL_TOKENS) * TOKEN,
        }
    }

    /// Earns a share, in permille, of first attempts that were sent.
    pub fn earn(&mut self, firsts: u64, share: u64) {
        self.level = (self.level + firsts * share).min(self.capacity);
    }

    /// Takes one token if there is one for this kind and the share is not zero.
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
