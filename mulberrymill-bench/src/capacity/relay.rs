use std::net::{Ipv4Addr, SocketAddr};

use actix::Addr;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::{AbortHandle, JoinSet},
};

use super::{
    Result,
    meter::{BytesRead, Direction, Meter},
};

/// Buffer of one direction. Small because there are hundreds of relays.
const BUFFER_BYTES: usize = 16 << 10;

/// TCP relay to an agent that counts the bytes of its connections. Dropping it closes them.
#[derive(Debug)]
pub(super) struct Relay {
    address: SocketAddr,
    task: AbortHandle,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    pub(super) async fn open(agent: SocketAddr, meter: Addr<Meter>) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let task = tokio::task::spawn_local(accept(listener, agent, meter)).abort_handle();
        Ok(Self { address, task })
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept(listener: TcpListener, agent: SocketAddr, meter: Addr<Meter>) {
    let mut connections = JoinSet::new();
    while let Ok((entry, _peer)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        connections.spawn_local(forward(entry, agent, meter.clone()));
    }
}

/// Forwards both directions until either ends, then closes both, as a closed link does.
async fn forward(entry: TcpStream, agent: SocketAddr, meter: Addr<Meter>) -> std::io::Result<()> {
    let agent = TcpStream::connect(agent).await?;
    entry.set_nodelay(true)?;
    agent.set_nodelay(true)?;
    let (from_entry, to_entry) = entry.into_split();
    let (from_agent, to_agent) = agent.into_split();
    let down = copy(from_entry, to_agent, Direction::ToAgent, meter.clone());
    let up = copy(from_agent, to_entry, Direction::ToEntry, meter);
    tokio::select! {
        result = down => result,
        result = up => result,
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    meter: Addr<Meter>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        meter.do_send(BytesRead(direction, length as u64));
        to.write_all(&buffer[..length]).await?;
    }
}
