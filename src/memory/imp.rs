use std::{cell::RefCell, collections::HashMap, fmt, net::SocketAddr, rc::Rc};

use super::Result;
use crate::{
    error::{Error, Kind},
    unit::{Bytes, as_f64},
};

/// Counts the bytes that are held for each sender, in one thread. Clones share the counts.
#[derive(Clone)]
pub struct Pool {
    state: Rc<RefCell<State>>,
}

struct State {
    /// What the pool holds, in metrics.
    name: &'static str,
    limit: u64,
    /// Whether a sender may hold no more than is free.
    shares: bool,
    held: u64,
    senders: HashMap<SocketAddr, u64>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = self.state.borrow();
        f.debug_struct("Pool")
            .field("name", &state.name)
            .field("limit", &Bytes::new(state.limit))
            .field("held", &Bytes::new(state.held))
            .finish_non_exhaustive()
    }
}

impl Pool {
    /// Creates an empty pool in which a sender may hold as much as is free. `name` labels its metrics.
    #[must_use]
    pub fn new(name: &'static str, limit: Bytes) -> Self {
        Self::create(name, limit, true)
    }

    /// Creates an empty pool in which one sender may hold all, for senders that cannot be distinguished.
    #[must_use]
    pub fn without_shares(name: &'static str, limit: Bytes) -> Self {
        Self::create(name, limit, false)
    }

    fn create(name: &'static str, limit: Bytes, shares: bool) -> Self {
        let state = State {
            name,
            limit: limit.get(),
            shares,
            held: 0,
            senders: HashMap::new(),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// An empty reservation for the bytes of a sender.
    #[must_use]
    pub fn reserve(&self, sender: SocketAddr) -> Reservation {
        Reservation {
            pool: Some(self.clone()),
            sender,
            size: 0,
        }
    }

    /// Bytes that are held for all senders.
    #[must_use]
    pub fn held(&self) -> Bytes {
        Bytes::new(self.state.borrow().held)
    }

    fn check(&self, sender: SocketAddr, by: u64) -> Result<()> {
        let state = self.state.borrow();
        let of_sender = state.senders.get(&sender).copied().unwrap_or_default();
        let free = state.limit.saturating_sub(state.held);
        let exceeds_share = state.shares && of_sender.saturating_add(by) > free.saturating_sub(by);
        if by > free || exceeds_share {
            metrics::counter!("held_bytes_exceeded_total", "pool" => state.name).increment(1);
            let detail = format!(
                "too many bytes of {sender} are held: {} of {} in all",
                Bytes::new(of_sender),
                Bytes::new(state.held)
            );
            return Err(Error::new(Kind::Overloaded, detail));
        }
        Ok(())
    }

    fn grow(&self, sender: SocketAddr, by: u64) -> Result<()> {
        self.check(sender, by)?;
        let mut state = self.state.borrow_mut();
        *state.senders.entry(sender).or_default() += by;
        let held = state.held + by;
        state.set_held(held);
        Ok(())
    }

    fn shrink(&self, sender: SocketAddr, by: u64) {
        let mut state = self.state.borrow_mut();
        if let Some(of_sender) = state.senders.get_mut(&sender) {
            *of_sender = of_sender.saturating_sub(by);
            if *of_sender == 0 {
                state.senders.remove(&sender);
            }
        }
        let held = state.held.saturating_sub(by);
        state.set_held(held);
    }
}

impl State {
    fn set_held(&mut self, held: u64) {
        self.held = held;
        metrics::gauge!("held_bytes", "pool" => self.name).set(as_f64(held));
    }
}

/// Bytes of a sender that are held until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    /// `None` if the bytes are not counted.
    pool: Option<Pool>,
    sender: SocketAddr,
    size: u64,
}

impl Reservation {
    /// A reservation that is not counted, for bytes that are bounded otherwise.
    #[must_use]
    pub const fn uncounted() -> Self {
        Self {
            pool: None,
            sender: SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0),
            size: 0,
        }
    }

    /// An empty reservation for other bytes of the same sender.
    #[must_use]
    pub fn sibling(&self) -> Self {
        Self {
            pool: self.pool.clone(),
            sender: self.sender,
            size: 0,
        }
    }

    /// Number of bytes that are held.
    #[must_use]
    pub fn size(&self) -> Bytes {
        Bytes::new(self.size)
    }

    /// Fails if this many bytes could not be held now. Holds nothing.
    ///
    /// # Errors
    ///
    /// [`Kind::Overloaded`] if they are more than the sender may hold.
    pub fn check(&self, size: u64) -> Result<()> {
        match &self.pool {
            Some(pool) => pool.check(self.sender, size.saturating_sub(self.size)),
            None => Ok(()),
        }
    }

    /// Changes the number of bytes that are held.
    ///
    /// # Errors
    ///
    /// [`Kind::Overloaded`] if they become more than the sender may hold; the number is not changed then.
    pub fn resize(&mut self, size: usize) -> Result<()> {
        let size = size as u64;
        if let Some(pool) = &self.pool {
            if size > self.size {
                pool.grow(self.sender, size - self.size)?;
            } else if size < self.size {
                pool.shrink(self.sender, self.size - size);
            }
        }
        self.size = size;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(pool) = &self.pool
            && self.size > 0
        {
            pool.shrink(self.sender, self.size);
        }
    }
}
