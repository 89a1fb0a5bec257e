//! Stand-ins, load generator and experiments for mulberrymill. Not shipped.

pub mod store;
